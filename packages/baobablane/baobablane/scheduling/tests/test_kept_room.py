"""Test upstreams that are kept for tasks that wait, and what else may use them.

An upstream was closed to all other work for a gang that could not fit beside its
long-running tasks.
"""

import pytest

from baobablane.jobs import JobProgress, JobState, RunLoss, Task, TaskId, TaskState

from .fleet_model import CORE, ModelFleet, add, make_job, make_step

LASTING, SUSPECT, SMALL, OTHER = (digit * 16 for digit in "1345")
# A job has something running this long after there is room for it.
MAX_WAIT_SECONDS = 3.0
LONG_SECONDS = 60.0


@pytest.fixture
def fleet():
    """Return one upstream of eight cores."""
    fleet = ModelFleet(count=1, cpu=8 * CORE)
    fleet.renew_all()
    return fleet


def make_long_step(cpu, **fields):
    """Return a step of one task of a minute."""
    return make_step(cpu=cpu, **fields).__class__(
        1, make_step(cpu=cpu).needs, round(LONG_SECONDS * 1000), **fields
    )


def add_suspect(fleet, step):
    """Add a job of which all tasks were lost once with another upstream."""
    losses = [RunLoss(1, "gone", 1, suspects=2, is_started=True, is_crash=True)]
    tasks = {
        f"0.0.{position}": Task(TaskState.WAITING, 1, losses=list(losses))
        for position in range(step.count)
    }
    progress = JobProgress(JobState.RUNNING, tasks)
    fleet.scheduler.add_job(make_job(step, name=SUSPECT), progress, fleet.now)


def play(fleet, seconds, end_small=True):
    """Let the owner work for some seconds, and return the jobs of its starts."""
    started = []
    until = fleet.now + seconds
    while fleet.now < until:
        for order in fleet.place():
            started.append(order.task.job)
        fleet.now += 0.1
        if end_small:
            fleet.finish(TaskId(SMALL, 0, 0, 0))
        fleet.renew_all()
    return started


class TestGangs:
    """Test a gang that starts only in a trial, as its tasks are suspects."""

    def test_gang_that_never_fits_closes_no_upstream(self, fleet):
        """Guards against an upstream that is closed for as long as tasks last there."""
        add(fleet, make_job(make_step(2, cpu=3 * CORE, is_lasting=True), name=LASTING))
        play(fleet, 1.0)
        add_suspect(fleet, make_step(2, cpu=2 * CORE, is_gang=True))
        play(fleet, 1.0)
        add(fleet, make_job(make_step(), name=SMALL))
        assert SMALL in play(fleet, MAX_WAIT_SECONDS)

    def test_room_is_kept_for_a_gang_that_fits_without_short_tasks(self, fleet):
        """Guards against small tasks that keep a gang from starting."""
        add(fleet, make_job(make_step(8), name=OTHER))
        play(fleet, 0.5)
        add_suspect(fleet, make_step(2, cpu=4 * CORE, is_gang=True))
        for position in range(8):
            fleet.finish(TaskId(OTHER, 0, 0, position))
            add(fleet, make_job(make_long_step(CORE), name=f"{position + 6:016x}"))
            play(fleet, 0.3)
        assert play(fleet, 2.0).count(SUSPECT) in (0, 2)
        assert fleet.runs_of(TaskId(SUSPECT, 0, 0, 0)) == 1
