"""Test the check of runs with events that break it."""

import pytest

from soak._event import Event
from soak._run_check import RunCheck

from .events import (
    JOB,
    TASK,
    acknowledge,
    answer,
    broken,
    crash,
    end,
    make_job,
    start,
)


def make_check(kind="plain"):
    """Return a check that knows one job."""
    return RunCheck({JOB: make_job(kind)})


class TestOneRun:
    """Test two runs of a task at a time."""

    def test_second_run_is_broken(self):
        events = [start(1.0), start(2.0, "u1", run=2)]
        assert broken(make_check(), events) == ["one-run"]

    def test_copies_may_run_at_a_time(self):
        events = [start(1.0), start(2.0, "u1", run=2)]
        assert broken(make_check("copies"), events) == []

    def test_run_after_an_end_or_a_crash_is_allowed(self):
        events = [
            start(1.0),
            end(2.0, "stopped"),
            start(2.1, "u1", run=2),
            crash(3.0, [TASK], upstream="u1"),
            start(3.1, run=3),
        ]
        assert broken(make_check(), events) == []


class TestEnds:
    """Test starts after a task or a job has ended."""

    def test_start_after_an_acknowledged_end_is_broken(self):
        events = [start(1.0), end(2.0), acknowledge(2.1), start(3.0, "u1", run=2)]
        assert broken(make_check(), events) == ["no-start-after-end"]

    def test_start_after_the_end_of_a_lapsed_upstream_is_told_apart(self):
        lapse = Event(2.05, "lapse", {"upstream": "u0", "incarnation": 1})
        events = [start(1.0), end(2.0), lapse, acknowledge(2.1)]
        events.append(start(3.0, "u1", run=2))
        assert broken(make_check(), events) == ["no-start-after-late-end"]

    def test_start_after_an_end_that_nobody_has_read_is_allowed(self):
        events = [start(1.0), end(2.0), acknowledge(2.1, 0), start(3.0, "u1", run=2)]
        assert broken(make_check(), events) == []

    @pytest.mark.parametrize("state", ["cancelled", "running", "pending"])
    def test_start_long_after_a_cancellation_is_broken(self, state):
        cancelled = answer(1.0, state, name="cancel")
        assert broken(make_check(), [cancelled, start(3.9)]) == []
        assert broken(make_check(), [cancelled, start(4.1)]) == [
            "no-start-after-cancel"
        ]
