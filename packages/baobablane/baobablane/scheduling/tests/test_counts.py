"""Test that what is counted of runs is what the known runs need."""

import pytest

from baobablane.deployment import Resources
from baobablane.jobs import JobState
from baobablane.scheduling import StartResult

from .._count_audit import find_miscounts
from .fleet_model import CORE, ModelFleet, add, make_job, make_step

GANG, LATER = "0" * 16, "1" * 16
COUNT = 6
REACHED_AGAIN_SECONDS = 0.6


def lose_starts(fleet, orders):
    """Answer no start; the upstream carries none of them out in time."""
    for order in orders:
        deadline = fleet.grant_start(order.upstream)
        fleet.scheduler.start_sent(order, round(deadline * 1000), fleet.now)
        fleet.scheduler.start_answered(order, StartResult.UNKNOWN, fleet.now)


@pytest.fixture
def fleet():
    """Return one upstream of eight cores that holds a lease."""
    fleet = ModelFleet(count=1, cpu=8 * CORE)
    fleet.renew_all()
    fleet.renew_all()
    return fleet


class TestUnansweredStarts:
    """Test copies of tasks whose starts at the one upstream had no response.

    While the upstream is unreachable, the tasks wait again beside their first runs.
    Each was counted a second time, and the first run's resources were never freed.
    """

    def lose_first_starts(self, fleet, step):
        """Begin a job, and reach its upstream again after its tasks wait for copies."""
        add(fleet, make_job(step, name=GANG))
        lose_starts(fleet, fleet.plan_starts())
        fleet.scheduler.expire_unreachable(fleet.now)
        fleet.now += REACHED_AGAIN_SECONDS
        fleet.scheduler.expire_unreachable(fleet.now)
        fleet.place()
        fleet.renew_all()

    def play(self, fleet, seconds):
        """Let the owner work on for some seconds."""
        until = fleet.now + seconds
        while fleet.now < until:
            fleet.send_stops()
            fleet.place()
            fleet.now += 0.1
            fleet.renew_all()
            assert find_miscounts(fleet.scheduler.state) == []

    @pytest.mark.parametrize("is_gang", [False, True])
    def test_all_tasks_start_again(self, fleet, is_gang):
        """Guards against a gang that never begins beside its own lost members."""
        step = make_step(COUNT, may_run_twice=True, is_gang=is_gang)
        self.lose_first_starts(fleet, step)
        self.play(fleet, 3.0)
        assert len(fleet.upstreams["u0"].running) == COUNT

    @pytest.mark.parametrize("is_gang", [False, True])
    def test_other_work_finds_the_room_that_is_free(self, fleet, is_gang):
        """Guards against room that is taken for used for good."""
        step = make_step(COUNT, may_run_twice=True, is_gang=is_gang)
        self.lose_first_starts(fleet, step)
        self.play(fleet, 3.0)
        for task in list(fleet.upstreams["u0"].running):
            fleet.finish(task)
        fleet.renew_all()
        assert fleet.scheduler.state.jobs[GANG].state is JobState.COMPLETED
        assert fleet.scheduler.state.upstreams["u0"].used == Resources()
        add(fleet, make_job(make_step(8), name=LATER))
        assert len(fleet.place()) == 8

    def test_cancelled_job_leaves_nothing_counted(self, fleet):
        step = make_step(COUNT, may_run_twice=True, is_gang=True)
        self.lose_first_starts(fleet, step)
        fleet.scheduler.cancel_job(GANG)
        self.play(fleet, 3.0)
        assert fleet.scheduler.state.upstreams["u0"].used == Resources()

    def test_task_is_not_placed_beside_its_own_run(self, fleet):
        """Guards against two runs of a task in a table that holds one."""
        add(fleet, make_job(make_step(may_run_twice=True)))
        fleet.place()
        fleet.scheduler.renewal_failed("u0", fleet.now)
        fleet.scheduler.expire_unreachable(fleet.now)
        fleet.now += REACHED_AGAIN_SECONDS
        fleet.scheduler.expire_unreachable(fleet.now)
        # The upstream is reachable again before a report has told what it runs.
        fleet.scheduler.state.upstreams["u0"].is_reachable = True
        assert fleet.place() == []


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
