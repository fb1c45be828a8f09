"""Test the check of long-running tasks with events that break it."""

import pytest

from soak._event import Event
from soak._lasting_check import LASTING_PROMISE, LastingCheck
from soak._plan import STORE_KINDS, UPSTREAMS

from .events import (
    JOB,
    TASK,
    answer,
    broken,
    crash,
    end,
    fault,
    make_job,
    start,
    submit,
    tick,
)

# The task has had no run since then, and all was calm for long before.
LOST_AT = 20.0
LOST = end(LOST_AT, "lapsed")


def make_check(count=1):
    """Return a check of an accepted long-running job whose tasks run on u0."""
    check = LastingCheck({JOB: make_job("serving", count)})
    events = [submit(0.0, 200)]
    events += [start(0.1, task=f"{JOB}.0.0.{number}") for number in range(count)]
    assert broken(check, events) == []
    return check


def breaks_at(check, events, until=60.0):
    """Return when the promise is broken first, looked at ten times a second."""
    ticks = [tick(n / 10) for n in range(int(until * 10) + 1)]
    # What happens comes before a tick of the same time.
    for event in sorted([*events, *ticks], key=lambda event: event.at):
        for breach in check(event):
            assert breach.promise == LASTING_PROMISE
            return breach.at
    return None


class TestAbsence:
    """Test how long a task may be without a run."""

    def test_lost_task_is_broken_after_6_s(self):
        assert breaks_at(make_check(), [LOST]) == 26.0

    def test_task_that_runs_again_in_time_is_allowed(self):
        assert breaks_at(make_check(), [LOST, start(25.95, "u1", run=2)]) is None

    def test_task_that_runs_again_too_late_is_broken_without_a_tick(self):
        events = [LOST, start(26.05, "u1", run=2)]
        assert broken(make_check(), events) == [LASTING_PROMISE]

    def test_task_that_never_ran_counts_from_the_acceptance(self):
        check = LastingCheck({JOB: make_job("serving")})
        events = [submit(9.0), submit(10.0, 200), submit(12.0, 200)]
        assert breaks_at(check, events) == 16.0

    def test_other_tasks_of_the_job_are_no_excuse(self):
        assert breaks_at(make_check(3), [LOST]) == 26.0

    def test_each_absence_is_reported_once(self):
        again = [start(30.0, "u1", run=2), end(31.0, "lapsed", "u1", run=2)]
        events = [LOST, tick(27.0), tick(28.0), *again, tick(40.0), tick(41.0)]
        assert broken(make_check(), events) == [LASTING_PROMISE] * 2

    def test_task_that_still_runs_elsewhere_is_not_lost(self):
        assert breaks_at(make_check(), [start(19.0, "u1", run=2), LOST]) is None

    def test_end_by_maintenance_counts_from_its_moment(self):
        assert breaks_at(make_check(), [crash(20.0, [TASK], state="upkeep")]) == 26.0

    def test_longest_is_kept_with_its_calm(self):
        check = make_check()
        kill = [fault(21.0, "kill", "entry-0"), started(21.5, "entry-0")]
        broken(check, [LOST, *kill, start(25.0, "u1", run=2), tick(30.0)])
        assert str(check.longest()) == "5.0 s, of which calm 3.5 s"


class TestEnds:
    """Test jobs to which nothing is owed any more."""

    @pytest.mark.parametrize("state", ["completed", "failed", "cancelled"])
    def test_ended_job_is_not_counted(self, state):
        assert breaks_at(make_check(), [LOST, answer(25.0, state)]) is None

    def test_cancelled_job_is_not_counted(self):
        cancelling = Event(25.0, "cancel-sent", {"job": JOB})
        assert breaks_at(make_check(), [LOST, cancelling]) is None
        assert breaks_at(make_check(), [cancelling, end(25.1, "stopped")]) is None

    def test_state_without_an_end_is_counted(self):
        assert breaks_at(make_check(), [LOST, answer(25.0, "running")]) == 26.0

    def test_job_that_was_not_accepted_is_not_counted(self):
        check = LastingCheck({JOB: make_job("serving")})
        events = [submit(0.0), start(0.1), submit(0.2, 504), LOST]
        assert breaks_at(check, events) is None

    def test_job_that_ends_by_itself_is_not_counted(self):
        check = LastingCheck({JOB: make_job("long")})
        assert breaks_at(check, [submit(0.0, 200), start(0.1), LOST]) is None


class TestCalm:
    """Test what disturbs, and until when."""

    def test_crash_disturbs_at_its_moment(self):
        assert breaks_at(make_check(), [crash(20.0, [TASK])]) == 27.0

    def test_upstream_that_returns_disturbs_nothing(self):
        back = Event(24.0, "return", {"upstream": "u0", "id": "u0-1"})
        assert breaks_at(make_check(), [crash(20.0, [TASK]), back]) == 27.0

    @pytest.mark.parametrize("kind", ["kill", "terminate"])
    def test_signal_disturbs_until_the_process_is_started(self, kind):
        events = [LOST, *fault(21.0, kind, "entry-0", seconds=0.2)]
        assert breaks_at(make_check(), events) is None
        back = started(23.0, "entry-0")
        assert breaks_at(make_check(), [*events, back]) == 30.0

    def test_other_process_that_starts_ends_no_disturbance(self):
        events = [LOST, fault(21.0, "kill", "entry-0"), started(22.0, "entry-1")]
        assert breaks_at(make_check(), events) is None

    def test_process_that_ended_by_itself_disturbs_nothing(self):
        assert breaks_at(make_check(), [LOST, started(23.0, "entry-0")]) == 26.0

    @pytest.mark.parametrize("kind", [k for k in STORE_KINDS if k != "store-forgets"])
    def test_store_disturbs_while_it_has_a_fault(self, kind):
        events = [LOST, *fault(21.0, kind, seconds=3.0)]
        assert breaks_at(make_check(), events) == 31.0

    @pytest.mark.parametrize(
        "target",
        ["store/entry-0", "list/entry-0", "callers/entry-0", "upstream/u0/entry-0"],
    )
    def test_link_of_an_entry_instance_disturbs_while_it_has_a_fault(self, target):
        events = [LOST, *fault(21.0, "silence", target, seconds=3.0)]
        assert breaks_at(make_check(), events) == 31.0

    def test_faults_that_overlap_disturb_until_the_last_one_ends(self):
        pause = fault(21.0, "pause", "entry-0", seconds=3.0)
        other = fault(22.0, "pause", "entry-0", seconds=4.0)
        assert breaks_at(make_check(), [LOST, *pause, *other]) == 33.0

    @pytest.mark.parametrize(
        ("kind", "target"), [("cut-responses", "upstream/u0"), ("unhealthy", "u0")]
    )
    def test_upstream_that_is_away_disturbs_as_it_goes_and_returns(self, kind, target):
        events = [LOST, *fault(21.0, kind, target, seconds=30.0)]
        assert breaks_at(make_check(), events) == 28.0
        events = [LOST, *fault(21.0, kind, target, seconds=3.0)]
        assert breaks_at(make_check(), events) == 31.0

    @pytest.mark.parametrize(
        ("kind", "targets"), [("reset", ["store/entry-0"]), ("store-forgets", [])]
    )
    def test_reset_disturbs_at_its_moment(self, kind, targets):
        events = [LOST, *fault(21.0, kind, *targets, seconds=5.0)]
        assert breaks_at(make_check(), events) == 28.0

    def test_orders_of_the_operator_disturb_nothing(self):
        events = [LOST, fault(21.0, "new-queue"), fault(22.0, "wave", "u1", "u2")]
        assert breaks_at(make_check(), events) == 26.0


class TestRoom:
    """Test when there is room for a task."""

    def test_without_any_upstream_nothing_is_owed(self):
        events = [crash(20.0, [TASK], upstream=name) for name in UPSTREAMS]
        assert breaks_at(make_check(), events) is None
        back = Event(30.0, "return", {"upstream": "u3", "id": "u3-1"})
        assert breaks_at(make_check(), [*events, back]) == 33.0

    @pytest.mark.parametrize(("count", "broken_at"), [(40, 26.0), (48, None)])
    def test_only_long_running_tasks_take_the_room(self, count, broken_at):
        check = make_check(count)
        # Eight cores on each upstream, and one task on each core.
        events = [
            start(0.2 + n / 1000, UPSTREAMS[n // 8], f"{JOB}.0.0.{n}", run=2)
            for n in range(8, count)
        ]
        moved = [end(1.0, "stopped", "u0", f"{JOB}.0.0.{n}") for n in range(8, count)]
        assert breaks_at(check, [*events, *moved, LOST]) == broken_at

    def test_tasks_that_end_take_no_room(self):
        jobs = {JOB: make_job("serving"), "b2": make_job("long", 48)}
        check = LastingCheck(jobs)
        events = [submit(0.0, 200), start(0.1), LOST]
        events += [start(1.0, UPSTREAMS[n // 8], f"b2.0.0.{n}") for n in range(48)]
        assert breaks_at(check, events) == 26.0


def started(at, entry):
    """Return the event of a process that is started."""
    return Event(at, "process-start", {"entry": entry})
