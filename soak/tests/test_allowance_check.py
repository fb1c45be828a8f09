"""Test the check of allowances with events that break it."""

from soak._allowance_check import AllowanceCheck
from soak._event import Event

from .events import JOB, TASK, broken, crash, end, make_job, start

OTHER_TASK = f"{JOB}.0.0.1"


def make_check():
    """Return a check that knows one job, of which one task may be away."""
    return AllowanceCheck({JOB: make_job("serving", 3)})


class TestOrders:
    """Test orders that end tasks of a step with an allowance."""

    def test_one_task_is_allowed(self):
        assert broken(make_check(), [crash(1.0, [TASK], state="upkeep")]) == []

    def test_two_tasks_are_broken(self):
        events = [crash(1.0, [TASK, OTHER_TASK], state="upkeep")]
        assert broken(make_check(), events) == ["allowance"]

    def test_second_task_before_the_first_runs_again_is_broken(self):
        events = [crash(1.0, [TASK], state="upkeep"), end(2.0, "stopped", "u1")]
        events[1] = end(2.0, "stopped", "u1", OTHER_TASK)
        assert broken(make_check(), events) == ["allowance"]
        events.insert(1, start(1.5, "u2", run=2))
        assert broken(make_check(), events) == []

    def test_known_loss_counts(self):
        stop = end(4.5, "stopped", "u1", OTHER_TASK)
        assert broken(make_check(), [crash(1.0, [TASK]), stop]) == ["allowance"]
        assert broken(make_check(), [crash(4.0, [TASK]), stop]) == []

    def test_cancelled_job_has_none(self):
        events = [
            Event(0.5, "cancel-sent", {"job": JOB}),
            crash(1.0, [TASK, OTHER_TASK], state="upkeep"),
        ]
        assert broken(make_check(), events) == []
