"""Test that owners who follow one another clear no task that crashes upstreams."""

import pytest

from baobablane.jobs import JobState, TaskId
from baobablane.scheduling import Scheduler

from .crash_model import CrashFleet
from .fleet_model import SCHEDULING_POLICY, add, make_job, make_step

DEADLY_JOB = "d" * 16
DEADLY = TaskId(DEADLY_JOB, 0, 0, 0)
LASTING_JOB = "a" * 16


class SettledFleet(CrashFleet):
    """Simulate crashes without power, and owners that tell the next one who settled."""

    told_ms = 0

    def crash(self, name):
        """Crash an upstream, which the owner finds out only as a call times out."""
        self.cut_power(name)

    def make_scheduler(self, inherited=(), policy=SCHEDULING_POLICY):
        """Return the scheduler of an owner that has just taken over."""
        scheduler = Scheduler(policy, dict(inherited), settled_ms=self.told_ms)
        scheduler.set_configuration(self.configuration)
        for upstream in self.upstreams.values():
            scheduler.upstream_listed(upstream.entry, self.now)
        scheduler.note_clock(self.now, round(self.now * 1000))
        return scheduler

    def end_owner(self, seconds, is_told):
        """Let another owner take over after a time in which nobody owns."""
        inherited = self.scheduler.inheritable_leases(self.epoch, self.now)
        self.told_ms = self.scheduler.settled_ms(self.now) if is_told else 0
        self.now += seconds
        self.replace_owner(inherited)


def count_starts(is_lasting, seconds, is_told):
    """Return the starts of a deadly task until it is given up.

    Each owner ends just after a crash, before it finds out.
    """
    fleet = SettledFleet(8, [DEADLY])
    add(fleet, make_job(make_step(12, is_lasting=True), name=LASTING_JOB))
    fleet.advance(4.0)
    add(fleet, make_job(make_step(is_lasting=is_lasting), name=DEADLY_JOB))
    known = 0
    while fleet.state_of(DEADLY_JOB) is not JobState.FAILED:
        fleet.advance(0.25)
        assert fleet.now < 300.0
        if len(fleet.crashed_starts) > known:
            known = len(fleet.crashed_starts)
            fleet.end_owner(seconds, is_told)
    return known


class TestDeadlyTask:
    """Test a task that crashes each upstream, under owners that don't see it."""

    @pytest.mark.parametrize("is_lasting", [False, True], ids=["short", "lasting"])
    @pytest.mark.parametrize("seconds", [0.0, 1.0, 3.0, 6.0])
    def test_it_is_given_up_as_soon_as_without_word(self, is_lasting, seconds):
        without_word = count_starts(is_lasting, seconds, is_told=False)
        assert count_starts(is_lasting, seconds, is_told=True) <= without_word
