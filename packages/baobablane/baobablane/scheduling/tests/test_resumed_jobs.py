"""Test that a job on which work raised an error is resumed from what is known.

A long-running task of such a job never ran again under the same owner.
"""

import pytest

from baobablane.deployment import NO_RESOURCES
from baobablane.jobs import JobProgress, JobState, Task, TaskId, TaskState
from baobablane.scheduling import EndReason

from .fault_model import (
    BAD,
    PLANNING,
    SECOND,
    TASK,
    Fault,
    pop_events,
    run_rounds,
    set_apart,
)
from .fleet_model import add, make_job, make_step


@pytest.fixture
def planning_fault(monkeypatch):
    """Return an error in the planning of the job BAD."""
    return Fault(monkeypatch, PLANNING, lambda state, job_run, *_: job_run.job.id)


class TestRetries:
    """Test when a job is resumed."""

    @pytest.mark.parametrize("is_lasting", [False, True])
    def test_task_starts_soon_after_an_error_that_does_not_repeat(
        self, fleet, planning_fault, is_lasting
    ):
        add(fleet, make_job(make_step(is_lasting=is_lasting), name=BAD))
        assert fleet.place() == []
        planning_fault.is_on = False
        (order,) = run_rounds(fleet, 2.0)
        assert order.task == TASK

    def test_error_that_repeats_is_met_at_growing_intervals(
        self, fleet, planning_fault
    ):
        add(fleet, make_job(name=BAD))
        run_rounds(fleet, 31.5)
        # After 0, 1, 3, 7, 15 and 31 seconds.
        assert planning_fault.calls == 6
        run_rounds(fleet, 600.0, interval=1.0)
        assert 6 + 9 <= planning_fault.calls <= 6 + 11

    def test_each_try_takes_one_line(self, fleet, planning_fault):
        add(fleet, make_job(name=BAD))
        run_rounds(fleet, 31.5)
        lines = [e for e in fleet.scheduler.pop_events() if e.job == BAD]
        assert [line.event for line in lines] == ["job-set-apart"] * 6

    def test_other_jobs_go_on(self, fleet, planning_fault):
        add(fleet, make_job(name=BAD))
        for number in range(50):
            add(fleet, make_job(name=f"{number:016x}"))
            (order,) = run_rounds(fleet, 0.2)
            fleet.finish(order.task)

    def test_job_without_an_error_is_logged_as_resumed(self, fleet, planning_fault):
        add(fleet, make_job(make_step(is_lasting=True), name=BAD))
        run_rounds(fleet, 2.0)
        planning_fault.is_on = False
        run_rounds(fleet, 10.0)
        assert [line.job for line in pop_events(fleet, "job-resumed")] == [BAD]

    def test_first_interval_is_used_again_after_a_long_calm(
        self, fleet, planning_fault
    ):
        add(fleet, make_job(make_step(is_lasting=True), name=BAD))
        run_rounds(fleet, 20.0)
        planning_fault.is_on = False
        run_rounds(fleet, 200.0, interval=1.0)
        set_apart(fleet)
        run_rounds(fleet, 2.0)
        assert BAD in fleet.scheduler.state.jobs

    def test_job_that_could_not_be_added_is_tried_again(self, fleet):
        job = make_job(make_step(2), name=BAD)
        progress = JobProgress(tasks={"7.7.7": Task()})
        fleet.scheduler.add_job(job, progress, fleet.now)
        run_rounds(fleet, 4.0)
        assert len(pop_events(fleet, "job-set-apart")) == 3
        assert BAD not in fleet.record()

    def test_arrival_is_counted_once(self, fleet, planning_fault):
        add(fleet, make_job(name=BAD))
        arrived = dict(fleet.scheduler.state.arrived_core_seconds)
        run_rounds(fleet, 8.0)
        assert fleet.scheduler.state.arrived_core_seconds == arrived


class TestRuns:
    """Test the runs of a job that is set apart."""

    def test_run_that_goes_on_is_not_started_again(self, fleet):
        add(fleet, make_job(make_step(is_lasting=True), name=BAD))
        (order,) = fleet.place()
        fleet.upstreams[order.upstream].percent[TASK] = 100
        set_apart(fleet)
        assert run_rounds(fleet, 5.0) == []
        assert fleet.runs_of(TASK) == 1
        job_run = fleet.scheduler.state.jobs[BAD]
        assert job_run.find_task(TASK)[1].state is TaskState.STARTED

    def test_room_is_free_after_the_end_of_a_resumed_job(self, fleet):
        add(fleet, make_job(make_step(3), name=BAD))
        fleet.place()
        set_apart(fleet)
        fleet.finish(TASK)
        run_rounds(fleet, 3.0)
        for position in (1, 2):
            fleet.finish(TaskId(BAD, 0, 0, position))
        run_rounds(fleet, 0.2)
        for upstream in fleet.scheduler.state.upstreams.values():
            assert upstream.used == NO_RESOURCES
        assert not fleet.scheduler.state.run_count_by_job

    def test_run_lost_meanwhile_is_started_again(self, fleet):
        add(fleet, make_job(make_step(is_lasting=True), name=BAD))
        (order,) = fleet.place()
        set_apart(fleet)
        del fleet.upstreams[order.upstream]
        fleet.scheduler.remove_upstream(order.upstream, "gone")
        (again,) = run_rounds(fleet, 2.0)
        assert (again.task, again.run) == (TASK, 2)

    def test_starts_withdrawn_after_an_error_are_planned_again(
        self, fleet, monkeypatch
    ):
        fault = Fault(
            monkeypatch,
            PLANNING,
            lambda state, _, step_run, *rest: step_run.job.id if step_run.number else 0,
        )
        add(fleet, make_job(make_step(), make_step(), name=BAD))
        assert fleet.place() == []
        fault.is_on = False
        assert {order.task.step for order in run_rounds(fleet, 2.0)} == {0, 1}


class TestEnds:
    """Test the ends of runs of a job that is set apart."""

    def test_job_is_completed_when_it_is_resumed(self, fleet, monkeypatch):
        Fault(
            monkeypatch,
            "_reconciliation._finish_task",
            lambda step_run, *_: step_run.job.id,
        )
        add(fleet, make_job(make_step(2), name=BAD))
        fleet.place()
        fleet.finish(TASK)
        fleet.finish(SECOND)
        fleet.renew_all()
        assert run_rounds(fleet, 3.0) == []
        assert fleet.scheduler.state.jobs[BAD].state is JobState.COMPLETED
        assert fleet.scheduler.remove_ended_jobs() == [BAD]

    def test_failed_task_is_started_again(self, fleet):
        add(fleet, make_job(name=BAD))
        fleet.place()
        set_apart(fleet)
        fleet.finish(TASK, EndReason.FAILED)
        (again,) = run_rounds(fleet, 2.0)
        assert again.run == 2
        fleet.finish(TASK, EndReason.FAILED)
        run_rounds(fleet, 0.5)
        assert fleet.scheduler.state.jobs[BAD].state is JobState.FAILED

    def test_checkpoint_of_an_end_is_used_when_the_task_starts_again(self, fleet):
        add(fleet, make_job(name=BAD))
        (order,) = fleet.place()
        set_apart(fleet)
        model = fleet.upstreams[order.upstream]
        model.end(TASK, EndReason.STOPPED)
        model.ended = [type(end)(*_with_checkpoint(end)) for end in model.ended]
        (again,) = run_rounds(fleet, 2.0)
        assert again.checkpoint == "half"


def _with_checkpoint(end):
    return (end.end_number, end.task, end.run, end.reason, "half")
