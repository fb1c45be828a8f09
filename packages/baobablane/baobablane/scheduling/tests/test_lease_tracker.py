"""Test how long the leases of an upstream may be valid."""

import pytest

from baobablane.scheduling import LeaseTracker

LEASE_SECONDS = 4.5
MIN_LEASE_SECONDS = 2.5


@pytest.fixture
def tracker():
    """Return the tracker of an upstream that was granted a lease at 100 s."""
    tracker = LeaseTracker(100.0, 5_000)
    tracker.extend(100.0, LEASE_SECONDS)
    return tracker


class TestStartDeadline:
    """Test the lease deadline that is sent with a start."""

    def test_start_within_a_fresh_lease_does_not_extend_it(self, tracker):
        before = tracker.latest_expiry()
        deadline = tracker.deadline_for_start(101.0, MIN_LEASE_SECONDS, LEASE_SECONDS)
        assert deadline == 5_000 + 4_500
        assert tracker.latest_expiry() == before

    def test_start_near_the_end_of_a_lease_extends_it(self, tracker):
        before = tracker.latest_expiry()
        deadline = tracker.deadline_for_start(103.0, MIN_LEASE_SECONDS, LEASE_SECONDS)
        assert deadline == 5_000 + 3_000 + 4_500
        assert tracker.latest_expiry() > before

    def test_first_start_gets_a_full_lease(self):
        tracker = LeaseTracker(100.0, 5_000)
        deadline = tracker.deadline_for_start(100.0, MIN_LEASE_SECONDS, LEASE_SECONDS)
        assert deadline == 5_000 + 4_500
