"""Test what an owner tells the next one of runs that have settled."""

import pytest

from baobablane.jobs import JobProgress, JobState, Task, TaskId, TaskState
from baobablane.scheduling import Scheduler, SchedulingPolicy

from .crash_model import CrashFleet
from .fleet_model import add, make_configuration, make_job, make_step

JOB = "a" * 16
OTHER_JOB = "b" * 16
TASK = TaskId(JOB, 0, 0, 0)


@pytest.fixture
def fleet():
    """Return a fleet with a long-running task that has just been started."""
    fleet = CrashFleet(3)
    add(fleet, make_job(make_step(is_lasting=True), name=JOB))
    fleet.place()
    return fleet


def start_ms(fleet, task_id=TASK):
    """Return the recorded start of the latest run of a task."""
    return fleet.scheduler.state.jobs[task_id.job].find_task(task_id)[1].start_ms


class TestSettledTime:
    """Test by when all runs that have not settled were started later."""

    def test_run_that_has_not_settled_was_started_later(self, fleet):
        assert fleet.scheduler.settled_ms(fleet.now) == start_ms(fleet) - 1

    def test_all_have_settled(self, fleet):
        fleet.advance(1.0)
        assert fleet.scheduler.settled_ms(fleet.now) == round(fleet.now * 1000)

    def test_earliest_start_counts(self, fleet):
        fleet.advance(1.0)
        add(fleet, make_job(make_step(is_lasting=True), name=OTHER_JOB))
        fleet.place()
        start = start_ms(fleet, TaskId(OTHER_JOB, 0, 0, 0))
        assert fleet.scheduler.settled_ms(fleet.now) == start - 1 > start_ms(fleet)

    def test_lost_run_counts_until_its_loss_is_recorded(self, fleet):
        """Guards against a deadly task that a change of owner clears."""
        start = start_ms(fleet)
        (order,) = [name for name in fleet.upstreams if fleet.upstreams[name].running]
        fleet.crash(order)
        fleet.now += 5.0
        fleet.list_instances()
        assert start_ms(fleet) == start
        assert fleet.scheduler.settled_ms(fleet.now) == start - 1
        fleet.record()
        assert fleet.scheduler.settled_ms(fleet.now) == round(fleet.now * 1000)

    def test_lost_run_counts_while_its_loss_is_written(self, fleet):
        """Guards against a last heartbeat that overtakes the record of a loss."""
        start = start_ms(fleet)
        (name,) = [name for name in fleet.upstreams if fleet.upstreams[name].running]
        fleet.crash(name)
        fleet.now += 5.0
        fleet.list_instances()
        assert JOB in fleet.scheduler.pop_dirty_progress()
        assert fleet.scheduler.settled_ms(fleet.now) == start - 1

    @pytest.mark.parametrize("step_ms", [-5_000, 5_000])
    def test_run_that_starts_after_a_clock_step_has_not_settled(self, fleet, step_ms):
        """Guards against a clock that is stepped between a heartbeat and a start."""
        fleet.advance(1.0)
        settled_ms = fleet.scheduler.settled_ms(fleet.now)
        add(fleet, make_job(make_step(is_lasting=True), name=OTHER_JOB))
        unix_ms = round(fleet.now * 1000) + step_ms
        (order,) = fleet.scheduler.plan_starts(fleet.now, unix_ms)
        assert start_ms(fleet, order.task) > settled_ms

    def test_run_of_an_owner_whose_clock_is_behind_has_not_settled(self, fleet):
        """Guards against a new owner that ends before its first heartbeat."""
        settled_ms = round(fleet.now * 1000) + 5_000
        fleet.scheduler = Scheduler(SchedulingPolicy(), settled_ms=settled_ms)
        fleet.scheduler.set_configuration(make_configuration())
        for upstream in fleet.upstreams.values():
            fleet.scheduler.upstream_listed(upstream.entry, fleet.now)
        fleet.renew_all()
        add(fleet, make_job(make_step(is_lasting=True), name=OTHER_JOB))
        (order,) = fleet.plan_starts()
        assert start_ms(fleet, order.task) > settled_ms

    def test_clock_that_is_behind_hides_no_run_that_has_settled(self, fleet):
        """Guards against suspects after two owners, the second with a slow clock."""
        fleet.advance(1.0)
        fleet.scheduler.note_clock(fleet.now, round(fleet.now * 1000) - 5_000)
        assert fleet.scheduler.settled_ms(fleet.now) >= start_ms(fleet)

    @pytest.mark.parametrize("key", ["0.0.0", "invalid"])
    def test_run_of_a_job_apart_that_was_never_tracked_has_not_settled(
        self, fleet, key
    ):
        """Guards against a job that a new owner fails to take in."""
        task = Task(TaskState.STARTED, 1, upstream="u0", incarnation=1, start_ms=700)
        progress = JobProgress(JobState.RUNNING, tasks={key: task})
        fleet.advance(1.0)
        job = make_job(make_step(is_lasting=True), name=OTHER_JOB)
        fleet.scheduler.state.set_apart_unchanged(job, progress, ValueError(), None)
        assert fleet.scheduler.settled_ms(fleet.now) == 699

    def test_run_without_a_recorded_start_makes_it_unknown(self, fleet):
        for upstream in fleet.scheduler.state.upstreams.values():
            for run in upstream.runs.values():
                run.start_ms = 0
        assert fleet.scheduler.settled_ms(fleet.now) == 0
