"""Test the check of jobs that wait with events that break it."""

import pytest

from soak._event import Event
from soak._plan import UPSTREAMS
from soak._planned_job import PlannedJob
from soak._waiting_check import WAITING_PROMISE, WaitingCheck

from .events import (
    JOB,
    TASK,
    acknowledge,
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

ACCEPTED = submit(20.0, 200)
OTHER_JOB = "00000000000000b2"


def make_check(count=1):
    """Return a check that knows one job and a larger one."""
    jobs = {JOB: make_job("plain", count), OTHER_JOB: make_job("long", 48)}
    return WaitingCheck(jobs)


class TestWaiting:
    """Test how long a job may wait."""

    def test_job_that_never_runs_is_broken_once(self):
        events = [ACCEPTED, tick(22.9)]
        assert broken(make_check(), events) == []
        events += [tick(23.1), tick(24.0)]
        assert broken(make_check(), events) == [WAITING_PROMISE]

    def test_late_start_is_broken_without_a_tick(self):
        assert broken(make_check(), [ACCEPTED, start(23.1)]) == [WAITING_PROMISE]

    def test_job_that_runs_is_allowed(self):
        assert broken(make_check(), [ACCEPTED, start(22.9), tick(40.0)]) == []

    def test_job_with_a_task_left_is_broken(self):
        events = [ACCEPTED, start(20.1), end(21.0), tick(30.0)]
        assert broken(make_check(2), events) == [WAITING_PROMISE]

    def test_end_that_was_lost_unread_is_broken(self):
        events = [ACCEPTED, start(20.1), end(21.0), crash(21.1, []), tick(30.0)]
        assert broken(make_check(), events) == [WAITING_PROMISE]

    def test_occurrences_count_from_the_last_one(self):
        job = PlannedJob(0.0, JOB, "periodic", {}, 0, None, (1,), 3)
        events = [ACCEPTED, start(20.1), end(20.2), tick(23.7)]
        assert broken(WaitingCheck({JOB: job}), events) == []
        events += [tick(23.9)]
        assert broken(WaitingCheck({JOB: job}), events) == [WAITING_PROMISE]


class TestEnds:
    """Test jobs to which nothing is owed."""

    @pytest.mark.parametrize(
        "events",
        [
            [start(20.1), end(21.0)],
            [start(20.1), end(21.0), acknowledge(21.1), crash(21.2, [])],
            [start(20.1), end(21.0, "failed"), start(21.1), end(21.2, "failed")],
            [start(20.1), crash(21.0, [TASK]), start(21.1), crash(21.2, [TASK])],
            [answer(20.1, "cancelled")],
            [Event(20.1, "cancel-sent", {"job": JOB})],
        ],
    )
    def test_ended_job_is_not_counted(self, events):
        assert broken(make_check(), [ACCEPTED, *events, tick(40.0)]) == []

    def test_job_that_was_not_accepted_is_not_counted(self):
        assert broken(make_check(), [submit(20.0, 504), tick(40.0)]) == []

    def test_long_running_job_is_left_to_its_own_check(self):
        check = WaitingCheck({JOB: make_job("serving")})
        events = [ACCEPTED, start(20.1), end(20.2, "stopped"), tick(40.0)]
        assert broken(check, events) == []


class TestCalmAndRoom:
    """Test what excuses a job that waits."""

    def test_disturbed_job_is_broken_only_after_7_calm_seconds(self):
        reset = fault(22.0, "reset", "store/entry-0")
        assert broken(make_check(), [ACCEPTED, reset, tick(28.9)]) == []
        events = [ACCEPTED, reset, tick(28.9), tick(29.1)]
        assert broken(make_check(), events) == [WAITING_PROMISE]

    @pytest.mark.parametrize(("used", "promises"), [(23, [WAITING_PROMISE]), (24, [])])
    def test_pool_that_is_half_full_excuses(self, used, promises):
        starts = [
            start(1.0, UPSTREAMS[n // 8], f"{OTHER_JOB}.0.0.{n}") for n in range(used)
        ]
        assert broken(make_check(), [*starts, ACCEPTED, tick(40.0)]) == promises
