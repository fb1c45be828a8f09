"""Test that what is counted of runs is what the known runs need."""

import pytest

from baobablane.deployment import Resources

from .fleet_model import CORE, ModelFleet, add, make_job, make_step

GANG = "0" * 16


@pytest.fixture
def fleet():
    """Return one upstream of eight cores that holds a lease."""
    fleet = ModelFleet(count=1, cpu=8 * CORE)
    fleet.renew_all()
    fleet.renew_all()
    return fleet


class TestCheck:
    """Test the check of the counts beside the owner's rounds."""

    def test_miscounts_are_logged_with_the_known_runs(self, fleet):
        """Guards against room that is used up, and nothing says by what."""
        add(fleet, make_job(make_step(2)))
        fleet.place()
        fleet.scheduler.pop_events()
        state = fleet.scheduler.state
        upstream, lost = state.upstreams["u0"], Resources(3 * CORE, 0, 0)
        upstream.used = upstream.used + lost
        assert fleet.scheduler.check_counts() == 1
        (event,) = fleet.scheduler.pop_events()
        assert (event.event, event.upstream) == ("counts-differ", "u0")
        assert event.beside == (f"{GANG}.0.0.0#1", f"{GANG}.0.0.1#1")
        upstream.used = upstream.used - lost
        assert fleet.scheduler.check_counts() == 0
