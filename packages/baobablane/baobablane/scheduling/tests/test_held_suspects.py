"""Test that no run of bad luck keeps a long-running task from running again.

A task that lost upstreams right after its starts was held for 5 s, 10 s and more for
the news whether they crashed; of those that never return, no news comes.
"""

import math

import pytest

from baobablane.jobs import TaskId

from .crash_model import LIST_INTERVAL_SECONDS
from .fleet_model import CORE, add, make_job, make_step
from .waiting_model import WaitingFleet

JOB = "a" * 16
TASK = TaskId(JOB, 0, 0, 0)
# Callers are told that a long-running task runs again this long after its last run.
MAX_WAIT_SECONDS = 6.0
# Enough that there is room after all losses.
UPSTREAMS = 16
# How often it loses its upstream; each wait is checked, so fewer need no case.
LOSSES = 5
# Longer than any wait, to see how long it is.
WATCH_SECONDS = 60.0


class LosingFleet(WaitingFleet):
    """Simulate upstreams that are lost for good right after a task has started."""

    def lose(self, is_silent):
        """Lose the upstream that runs the task for good."""
        (name,) = [n for n, model in self.upstreams.items() if TASK in model.running]
        if is_silent:
            self.remove(name)
        else:
            self.crash(name)
            self._down[name] = math.inf

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
