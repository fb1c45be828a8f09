"""Test upstreams that are kept for tasks that wait, and what else may use them.

An upstream was closed to all other work for a gang that could not fit beside its
long-running tasks, and for a long-running task until a task of a minute had ended.
"""

import pytest

from baobablane.deployment import Resources
from baobablane.jobs import (
    JobProgress,
    JobState,
    RunLoss,
    Step,
    Task,
    TaskId,
    TaskState,
)

from .fleet_model import CORE, ModelFleet, add, make_job, make_step

LASTING, LONG, SUSPECT, SMALL, OTHER = (digit * 16 for digit in "12345")
# A job has something running this long after there is room for it.
MAX_WAIT_SECONDS = 3.0
LONG_SECONDS = 60.0


@pytest.fixture
def fleet():
    """Return one upstream of eight cores."""
    fleet = ModelFleet(count=1, cpu=8 * CORE)
    fleet.renew_all()
    return fleet


def make_long_step(cpu):
    """Return a step of one task of a minute."""
    return Step(1, Resources(cpu, 100, 0), round(LONG_SECONDS * 1000))


def add_suspect(fleet, step):
    """Add a job of which all tasks were lost once with another upstream."""
    losses = [RunLoss(1, "gone", 1, suspects=2, is_started=True, is_crash=True)]
    tasks = {
        f"0.0.{position}": Task(TaskState.WAITING, 1, losses=list(losses))
        for position in range(step.count)
    }
    progress = JobProgress(JobState.RUNNING, tasks)
    fleet.scheduler.add_job(make_job(step, name=SUSPECT), progress, fleet.now)


def play(fleet, seconds):
    """Let the owner work for some seconds, and return the jobs of its starts.

    The small task ends each time after a tenth of a second.
    """
    started = []
    until = fleet.now + seconds
    while fleet.now < until:
        for order in fleet.place():
            started.append(order.task.job)
        fleet.now += 0.1
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
        play(fleet, 2.0)
        assert [fleet.runs_of(TaskId(SUSPECT, 0, 0, n)) for n in range(2)] == [1, 1]


class TestBackfill:
    """Test small tasks beside a long one whose end a larger task waits for."""

    def start_long(self, fleet):
        """Start a short task that takes a minute and five of eight cores."""
        add(fleet, make_job(make_long_step(5 * CORE), name=LONG))
        play(fleet, 1.0)

    def wait_with(self, fleet, kind):
        """Add a task that waits until the long one has ended."""
        if kind == "lasting":
            step = make_step(cpu=4 * CORE, is_lasting=True)
            add(fleet, make_job(step, name=LASTING))
        elif kind == "suspect":
            add_suspect(fleet, make_step(cpu=4 * CORE))
        else:
            add_suspect(fleet, make_step(cpu=4 * CORE, is_lasting=True))
        play(fleet, 4.0)

    @pytest.mark.parametrize("kind", ["lasting", "suspect", "lasting suspect"])
    def test_small_task_runs_in_the_room_that_is_free(self, fleet, kind):
        """Guards against free cores that are closed until a long task has ended."""
        self.start_long(fleet)
        self.wait_with(fleet, kind)
        add(fleet, make_job(make_step(), name=SMALL))
        assert SMALL in play(fleet, MAX_WAIT_SECONDS)

    @pytest.mark.parametrize("kind", ["lasting", "suspect", "lasting suspect"])
    def test_long_tasks_leave_the_room_that_is_waited_for(self, fleet, kind):
        """Guards against a task that waits for one long task after the other."""
        self.start_long(fleet)
        self.wait_with(fleet, kind)
        for number in range(6):
            add(fleet, make_job(make_long_step(CORE), name=f"{number + 6:016x}"))
            play(fleet, 1.0)
        fleet.finish(TaskId(LONG, 0, 0, 0))
        job = LASTING if kind == "lasting" else SUSPECT
        assert job in play(fleet, 3.0)

    def test_tasks_of_wrong_declared_times_delay_it_once_at_most(self, fleet):
        """Guards against a task that each further one puts off."""
        self.start_long(fleet)
        add(fleet, make_job(make_step(cpu=8 * CORE, is_lasting=True), name=LASTING))
        play(fleet, 1.0)
        names = [f"{number + 6:016x}" for number in range(12)]
        for name in names:
            # Declared half a second, and never end by themselves.
            add(fleet, make_job(make_step(), name=name))
            play(fleet, 1.0)
        fleet.finish(TaskId(LONG, 0, 0, 0))
        fleet.renew_all()
        begun = {n for n in names if fleet.runs_of(TaskId(n, 0, 0, 0))}
        assert play(fleet, 1.0) == []
        for name in begun:
            fleet.finish(TaskId(name, 0, 0, 0))
        assert LASTING in play(fleet, 1.0)
