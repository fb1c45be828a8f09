"""Test until when an upstream may run what it was given."""

import pytest

from baobablane.scheduling import LeaseTracker

LEASE_SECONDS = 4.5
LEAST_SECONDS = 2.5


@pytest.fixture
def bound():
    """Return the bound of an upstream that was given a lease at 100 s."""
    bound = LeaseTracker(100.0, 5_000)
    bound.extend(100.0, LEASE_SECONDS)
    return bound


class TestStartDeadline:
    """Test the deadline that goes with a start."""

    def test_start_within_a_fresh_lease_puts_nothing_off(self, bound):
        before = bound.latest_expiry()
        deadline = bound.deadline_for_start(101.0, LEAST_SECONDS, LEASE_SECONDS)
        assert deadline == 5_000 + 4_500
        assert bound.latest_expiry() == before

    def test_start_near_the_end_of_a_lease_extends_it(self, bound):
        before = bound.latest_expiry()
        deadline = bound.deadline_for_start(103.0, LEAST_SECONDS, LEASE_SECONDS)
        assert deadline == 5_000 + 3_000 + 4_500
        assert bound.latest_expiry() > before

    def test_first_start_gets_a_whole_lease(self):
        bound = LeaseTracker(100.0, 5_000)
        deadline = bound.deadline_for_start(100.0, LEAST_SECONDS, LEASE_SECONDS)
        assert deadline == 5_000 + 4_500
