"""Test that no run of bad luck keeps a long-running task from running again.

A task that lost upstreams right after its starts was held for 5 s, 10 s and more for
the news whether they crashed; of those that never return, no news comes.
"""

import math

import msgspec
import pytest

from baobablane.jobs import JobState, RunLoss, Task, TaskId

from . import crash_model
from .crash_model import LIST_INTERVAL_SECONDS, CrashFleet
from .fleet_model import CORE, add, make_job, make_step
from .test_late_crashes import LateFleet
from .waiting_model import WaitingFleet

JOB = "a" * 16
TASK = TaskId(JOB, 0, 0, 0)
# Callers are told that a long-running task runs again this long after its last run.
MAX_WAIT_SECONDS = 6.0
# Enough that there is room after all losses.
UPSTREAMS = 16
# How often it loses its upstream; each wait is checked, so fewer need no case.
LOSSES = 5
# After three crashes, a task may be started twice more.
MAX_STARTS = 5
# For how long a crashed instance is away.
DOWN_SECONDS = [3.0, 5.0, 7.0, 10.0]
VERDICT_SECONDS = 120.0
# How far Unix clocks jump.
JUMP_SECONDS = 1000.0
# Longer than any wait, to see how long it is.
WATCH_SECONDS = 60.0


class LosingFleet(WaitingFleet):
    """Simulate upstreams that are lost for good right after a task has started."""

    def lose(self, is_silent, task=TASK):
        """Lose the upstream that runs a task for good, and return what ran there."""
        (name,) = [n for n, model in self.upstreams.items() if task in model.running]
        tasks = set(self.upstreams[name].running)
        if is_silent:
            self.remove(name)
        else:
            self.crash(name)
            self._down[name] = math.inf
        return tasks

    def wait_for_run(self, seconds=WATCH_SECONDS):
        """Let time pass until the task runs, and return whether it does."""
        end = self.now + seconds
        while self.now < end and not self.runs_of(TASK):
            self.advance(LIST_INTERVAL_SECONDS)
        return bool(self.runs_of(TASK))

    def take_over(self):
        """Let another owner take over, which finds out which upstreams are gone."""
        self.replace_owner()
        for name in set(self.scheduler.state.upstreams) - set(self.upstreams):
            self.scheduler.renewal_failed(name, self.now)


def add_others(fleet, count):
    """Add long-running jobs that leave room on each upstream, but none of them idle."""
    for number in range(count):
        step = make_step(cpu=2 * CORE, is_lasting=True)
        add(fleet, make_job(step, name=f"{number:016x}"))
    fleet.advance(2.0)


def watch_starts(fleet, takeover_seconds, unseen_seconds=0.0):
    """Let time pass until the job has ended; replace the owner after each start.

    For `unseen_seconds` after the start there is no owner.
    """
    end, starts, takeover_at = fleet.now + VERDICT_SECONDS, 0, math.inf
    while fleet.now < end and not fleet.state_of(JOB).is_final():
        fleet.advance(LIST_INTERVAL_SECONDS)
        if len(fleet.crashed_starts) > starts:
            starts = len(fleet.crashed_starts)
            if takeover_seconds is not None:
                takeover_at = fleet.now + takeover_seconds
        if fleet.now >= takeover_at:
            takeover_at = math.inf
            fleet.now += unseen_seconds
            fleet.replace_owner()


class TestLossesRightAfterStarts:
    """Test a task whose upstreams are lost for good right after its starts."""

    @pytest.mark.parametrize("is_silent", [False, True], ids=["reset", "silent"])
    @pytest.mark.parametrize("is_busy", [False, True], ids=["idle", "busy"])
    @pytest.mark.parametrize("takeover_seconds", [None, 0.0, 0.5, 2.0, 4.0])
    def test_hold_neither_doubles_nor_begins_anew_with_each_owner(
        self, is_silent, is_busy, takeover_seconds
    ):
        fleet = LosingFleet(UPSTREAMS)
        add_others(fleet, UPSTREAMS if is_busy else 0)
        add(fleet, make_job(make_step(is_lasting=True), name=JOB))
        assert fleet.wait_for_run()
        waits = []
        for _ in range(LOSSES):
            fleet.lose(is_silent)
            ended_at = fleet.now
            if takeover_seconds is not None and not fleet.wait_for_run(
                takeover_seconds
            ):
                fleet.take_over()
            assert fleet.wait_for_run()
            waits.append(fleet.now - ended_at)
        assert max(waits) < MAX_WAIT_SECONDS, waits

    def test_task_that_loses_settled_runs_is_held_no_longer(self):
        fleet = LosingFleet(UPSTREAMS)
        add(fleet, make_job(make_step(is_lasting=True), name=JOB))
        for _ in range(LOSSES + 2):
            assert fleet.wait_for_run(MAX_WAIT_SECONDS)
            fleet.advance(1.0)
            fleet.lose(False)
        assert fleet.wait_for_run(MAX_WAIT_SECONDS)
        losses = fleet.scheduler.state.late_losses.losses_by_task[TASK]
        assert len(losses) == LOSSES + 2


class TestOtherSuspects:
    """Test several long-running tasks that lose upstreams right after their starts."""

    @pytest.mark.parametrize(("upstreams", "losses_each"), [(16, 2), (20, 3)])
    @pytest.mark.parametrize("is_silent", [False, True], ids=["reset", "silent"])
    def test_none_waits_until_those_of_the_others_are_given_up(
        self, upstreams, losses_each, is_silent
    ):
        """Guards against upstreams that stay down after trials, one after the other."""
        fleet = LosingFleet(upstreams)
        add_others(fleet, upstreams)
        tasks = [TaskId(digit * 16, 0, 0, 0) for digit in "abcd"]
        for task in tasks:
            add(fleet, make_job(make_step(is_lasting=True), name=task.job))
        losses, ended_at, waits = dict.fromkeys(tasks, losses_each), {}, []
        end = fleet.now + WATCH_SECONDS
        while fleet.now < end:
            fleet.advance(LIST_INTERVAL_SECONDS)
            for task in [task for task in ended_at if fleet.runs_of(task)]:
                waits.append(fleet.now - ended_at.pop(task))
            for task in tasks:
                if not losses[task] or not fleet.runs_of(task):
                    continue
                for lost in fleet.lose(is_silent, task) & losses.keys():
                    losses[lost] = max(0, losses[lost] - 1)
                    ended_at[lost] = fleet.now
        assert not any(losses.values()) and not ended_at
        assert max(waits) < MAX_WAIT_SECONDS, waits


class TestDeadlyTask:
    """Test a long-running task that does crash the upstreams that start it."""

    @pytest.mark.parametrize("down_seconds", DOWN_SECONDS)
    @pytest.mark.parametrize("takeover_seconds", [None, 0.0, 0.5, 2.0, 4.0])
    def test_it_is_given_up_before_a_third_start_after_three_crashes(
        self, monkeypatch, down_seconds, takeover_seconds
    ):
        monkeypatch.setattr(crash_model, "DOWN_SECONDS", down_seconds)
        fleet = CrashFleet(6, [TASK])
        add(fleet, make_job(make_step(is_lasting=True), name=JOB))
        watch_starts(fleet, takeover_seconds)
        assert fleet.state_of(JOB) is JobState.FAILED
        assert len(fleet.crashed_starts) <= MAX_STARTS

    @pytest.mark.parametrize("down_seconds", DOWN_SECONDS)
    def test_it_is_given_up_though_no_owner_sees_its_crashes(
        self, monkeypatch, down_seconds
    ):
        """Guards against a sixth start while five crashes are needed as a proof."""
        monkeypatch.setattr(crash_model, "DOWN_SECONDS", down_seconds)
        fleet = CrashFleet(12, [TASK])
        add(fleet, make_job(make_step(is_lasting=True), name=JOB))
        watch_starts(fleet, 0.0, unseen_seconds=2.0)
        assert fleet.state_of(JOB) is JobState.FAILED
        assert len(fleet.crashed_starts) <= MAX_STARTS

    @pytest.mark.parametrize("down_seconds", DOWN_SECONDS)
    def test_it_is_given_up_if_it_crashes_them_after_it_has_settled(
        self, monkeypatch, down_seconds
    ):
        monkeypatch.setattr(crash_model, "DOWN_SECONDS", down_seconds)
        fleet = LateFleet(8, [TASK])
        add(fleet, make_job(make_step(is_lasting=True), name=JOB))
        fleet.advance(VERDICT_SECONDS)
        assert fleet.state_of(JOB) is JobState.FAILED
        assert len(fleet.late_crashes) <= MAX_STARTS


class TestRecordedTimes:
    """Test the time of a loss that an earlier owner recorded."""

    def hold_seconds(self, unix_offset_seconds):
        """Return how long a loss of 2 s ago holds its task with a new owner."""
        fleet = LosingFleet()
        add(fleet, make_job(make_step(is_lasting=True), name=JOB))
        for _ in range(2):
            assert fleet.wait_for_run()
            fleet.lose(False)
        fleet.advance(2.0)
        jobs = fleet.scheduler.state.jobs[JOB]
        job, progress = jobs.job, jobs.progress()
        scheduler = fleet.make_scheduler()
        unix_ms = round((fleet.now + unix_offset_seconds) * 1000)
        scheduler.note_clock(fleet.now, unix_ms)
        scheduler.add_job(job, progress, fleet.now)
        return scheduler.state.suspects.held_until[TASK] - fleet.now

    def test_new_owner_holds_the_task_for_the_rest_of_the_time(self):
        assert 1.5 < self.hold_seconds(0.0) < 3.0

    def test_jump_of_the_clock_shortens_one_hold_at_most(self):
        assert self.hold_seconds(JUMP_SECONDS) <= 0.0

    def test_jump_of_the_clock_lengthens_no_hold(self):
        assert self.hold_seconds(-JUMP_SECONDS) < MAX_WAIT_SECONDS

    def test_record_of_before_this_field_is_read(self):
        loss = [1, "u0", 5, "i0", 1, True, False, ["r0"]]
        task = msgspec.json.decode(
            msgspec.json.encode([1, 2, 0, "u0", 5, "", 0, [loss]]), type=Task
        )
        assert task.losses == [
            RunLoss(1, "u0", 5, "i0", 1, is_started=True, labels=("r0",))
        ]
        assert task.losses[0].lost_ms == 0
