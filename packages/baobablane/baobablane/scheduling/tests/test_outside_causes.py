"""Test which crashes another upstream's loss explains.

An idle upstream without power is found to be gone 2.5 s late. Crashes under one task
that came after its loss were put down to it, and the task was started again each time.
"""

from baobablane.jobs import JobState, TaskId

from .crash_model import CrashFleet
from .fleet_model import CORE, add, make_job, make_step

JOB = "d" * 16
VERDICT_SECONDS = 30.0
# After three crashes, a task may be started twice more.
MAX_STARTS = 5


class TestLoneCrash:
    """Test a crash of one upstream that had no young run."""

    def test_crash_is_not_its_own_outside_cause(self):
        fleet = CrashFleet()
        fleet.crash("u1")
        fleet.advance(VERDICT_SECONDS)
        events = fleet.scheduler.pop_events()
        (crash,) = [event for event in events if event.event == "upstream-crashed"]
        assert crash.reason == "no suspect"


class TestLateDiscovery:
    """Test crashes after an idle upstream has lost power."""

    def test_loss_that_is_found_late_explains_no_later_crash(self):
        fleet = CrashFleet(6, [TaskId(JOB, 0, 0, 0)], cpu=8 * CORE)
        fleet.crash("u2")
        fleet.cut_power("u1")
        add(fleet, make_job(make_step(), name=JOB))
        fleet.place()
        fleet.advance(VERDICT_SECONDS)
        assert fleet.state_of(JOB) is JobState.FAILED
        assert len(fleet.crashed_starts) <= MAX_STARTS
