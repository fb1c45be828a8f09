"""Test that nothing known of a job is lost when work on it raises an error."""

import pytest

from baobablane.jobs import JobProgress, JobState, Task, TaskState
from baobablane.scheduling import EndedRun, EndReason, StartResult, _reconciliation

from .fault_model import (
    BAD,
    GOOD,
    PLANNING,
    SECOND,
    TASK,
    Fault,
    pop_events,
    run_rounds,
    set_apart,
)
from .fleet_model import CORE, ModelFleet, add, make_job, make_step


@pytest.fixture
def end_fault(monkeypatch):
    """Return an error in the end of a task of the job BAD."""
    return Fault(
        monkeypatch,
        "_reconciliation._finish_task",
        lambda step_run, *_: step_run.job.id,
    )


class TestRuns:
    """Test the runs of a job that is set apart."""

    def test_start_of_unknown_outcome_does_not_block_its_upstream(self):
        """Guards against an upstream that gets no more starts of other jobs."""
        fleet = ModelFleet(count=1)
        fleet.renew_all()
        add(fleet, make_job(name=BAD))
        (order,) = fleet.plan_starts()
        fleet.scheduler.start_answered(order, StartResult.UNKNOWN, fleet.now)
        set_apart(fleet)
        run_rounds(fleet, 0.5)
        add(fleet, make_job(name=GOOD))
        assert [order.task.job for order in run_rounds(fleet, 0.4)] == [GOOD]

    def test_starts_planned_before_an_error_are_withdrawn(self, monkeypatch):
        """Guards against runs that nobody sends and that block their upstream."""
        fleet = ModelFleet(count=1)
        fleet.renew_all()
        Fault(
            monkeypatch,
            PLANNING,
            lambda state, _, step_run, *rest: step_run.job.id if step_run.number else 0,
        )
        add(fleet, make_job(make_step(), make_step(), name=BAD))
        assert fleet.place() == []
        (upstream,) = fleet.scheduler.state.upstreams.values()
        assert upstream.runs == {}
        fleet.now += 0.5
        add(fleet, make_job(name=GOOD))
        assert [order.task.job for order in fleet.place()] == [GOOD]

    def test_trial_of_a_job_set_apart_in_the_same_round_is_not_started(
        self, fleet, monkeypatch
    ):
        Fault(monkeypatch, PLANNING, lambda state, job_run, *_: job_run.job.id)
        add(fleet, make_job(make_step(), make_step(), name=BAD))
        fleet.scheduler.state.suspects.add(TASK, "u9", fleet.now, 1, False)
        assert fleet.place() == []
        assert not fleet.scheduler.state.run_count_by_job

    def test_runs_of_a_job_that_could_not_be_added_go_on(self, fleet):
        """Guards against a new owner that stops what it can't read at first."""
        job = make_job(make_step(2, is_lasting=True), name=BAD)
        add(fleet, job)
        fleet.place()
        fleet.scheduler = fleet.make_scheduler()
        fleet.scheduler.add_job(job, JobProgress(tasks={"7.7.7": Task()}), fleet.now)
        run_rounds(fleet, 5.0)
        assert [fleet.runs_of(task) for task in (TASK, SECOND)] == [1, 1]
        fleet.scheduler.cancel_job(BAD)
        run_rounds(fleet, 0.5)
        assert [fleet.runs_of(task) for task in (TASK, SECOND)] == [0, 0]


class TestEnds:
    """Test the ends of runs of a job that is set apart."""

    @pytest.mark.parametrize("is_gang", [False, True])
    def test_end_that_raised_the_error_is_recorded(self, fleet, end_fault, is_gang):
        """Guards against an acknowledged end that is lost."""
        add(fleet, make_job(make_step(2, is_gang=is_gang), name=BAD))
        fleet.place()
        fleet.finish(TASK)
        fleet.renew_all()
        tasks = fleet.record()[BAD].tasks
        assert tasks["0.0.0"].state is TaskState.DONE
        assert (tasks["0.0.1"].state is TaskState.DONE) is is_gang
        assert not any(TASK in u.runs for u in fleet.scheduler.state.upstreams.values())

    def test_end_that_arrives_later_is_recorded(self, fleet):
        add(fleet, make_job(make_step(2), name=BAD))
        fleet.place()
        set_apart(fleet)
        fleet.record()
        fleet.finish(TASK)
        fleet.renew_all()
        assert fleet.record()[BAD].tasks["0.0.0"].state is TaskState.DONE

    def test_end_applied_before_the_error_is_recorded(self, fleet):
        add(fleet, make_job(make_step(2), name=BAD))
        fleet.place()
        fleet.finish(TASK)
        fleet.renew_all()
        set_apart(fleet)
        assert fleet.record()[BAD].tasks["0.0.0"].state is TaskState.DONE

    def test_progress_is_recorded_whatever_the_error_interrupted(self, fleet):
        add(fleet, make_job(name=BAD))
        fleet.place()
        # That it has begun.
        assert set(fleet.record()) == {BAD}
        assert fleet.record() == {}
        set_apart(fleet)
        assert fleet.record()[BAD].tasks["0.0.0"].state is TaskState.STARTED

    def test_failure_of_a_copy_counts_no_more_once_the_task_is_done(self, fleet):
        add(fleet, make_job(make_step(may_run_twice=True), name=BAD))
        (order,) = fleet.place()
        set_apart(fleet)
        fleet.finish(TASK)
        model = fleet.upstreams[order.upstream]
        model.end_count += 1
        model.ended.append(
            EndedRun(model.end_count, TASK, 2, EndReason.FAILED, checkpoint="")
        )
        fleet.renew_all()
        task = fleet.record()[BAD].tasks["0.0.0"]
        assert (task.state, task.failures) == (TaskState.DONE, 0)

    def test_error_in_the_record_itself_loses_no_end(self, fleet, monkeypatch):
        add(fleet, make_job(make_step(2), name=BAD))
        fleet.place()
        fleet.finish(TASK)
        fleet.renew_all()
        job_run = fleet.scheduler.state.jobs[BAD]

        def raise_error(job_run):
            raise KeyError("progress")

        monkeypatch.setattr(type(job_run), "progress", raise_error)
        recorded = fleet.record()
        assert recorded[BAD].tasks["0.0.0"].state is TaskState.DONE
        assert fleet.record() == {}

    def test_next_owner_does_not_start_a_done_task(self, fleet):
        job = make_job(make_step(2), name=BAD)
        add(fleet, job)
        fleet.place()
        set_apart(fleet)
        fleet.finish(TASK)
        fleet.renew_all()
        progress = fleet.record()[BAD]
        fleet.renew_all()
        fleet.scheduler = fleet.make_scheduler()
        fleet.scheduler.add_job(job, progress, fleet.now)
        assert run_rounds(fleet, 1.5) == []

    def test_next_owner_completes_a_job_of_which_all_tasks_are_done(self, fleet):
        job = make_job(name=BAD)
        tasks = {"0.0.0": Task(TaskState.DONE, 1)}
        fleet.scheduler.add_job(job, JobProgress(JobState.RUNNING, tasks), fleet.now)
        assert fleet.record()[BAD].state is JobState.COMPLETED

    def test_last_failure_fails_the_job(self, fleet):
        add(fleet, make_job(make_step(2), name=BAD))
        fleet.place()
        fleet.finish(TASK, EndReason.FAILED)
        run_rounds(fleet, 0.5)
        set_apart(fleet)
        fleet.finish(TASK, EndReason.FAILED)
        fleet.renew_all()
        assert fleet.record()[BAD].state is JobState.FAILED
        assert [stop.task for stop in fleet.send_stops()] == [SECOND]

    def test_failure_that_raised_the_error_is_counted_once(self, fleet, monkeypatch):
        add(fleet, make_job(name=BAD))
        fleet.place()
        apply_failure = _reconciliation._apply_failure

        def apply_and_raise(*args):
            apply_failure(*args)
            raise KeyError("after")

        monkeypatch.setattr(_reconciliation, "_apply_failure", apply_and_raise)
        fleet.finish(TASK, EndReason.FAILED)
        fleet.renew_all()
        assert fleet.record()[BAD].tasks["0.0.0"].failures == 1


class TestCancellation:
    """Test the cancellation of a job that is set apart."""

    @pytest.fixture
    def fleet(self, fleet):
        """Return a fleet in which a job that is set apart has been cancelled."""
        add(fleet, make_job(make_step(is_lasting=True), name=BAD))
        fleet.place()
        set_apart(fleet)
        fleet.record()
        fleet.scheduler.cancel_job(BAD)
        return fleet

    def test_state_is_recorded(self, fleet):
        assert fleet.record()[BAD].state is JobState.CANCELLED
        assert [e.job for e in pop_events(fleet, "job-cancelled")] == [BAD]

    def test_runs_are_stopped_and_the_job_is_removed(self, fleet):
        run_rounds(fleet, 1.0)
        assert fleet.runs_of(TASK) == 0
        assert fleet.scheduler.remove_ended_jobs() == [BAD]
        assert not fleet.scheduler.state.apart_by_id

    def test_task_is_not_started_again(self, fleet):
        assert run_rounds(fleet, 200.0, interval=1.0) == []

    def test_first_final_state_stands(self, fleet):
        fleet.finish(TASK, EndReason.FAILED)
        fleet.renew_all()
        fleet.scheduler.cancel_job(BAD)
        assert fleet.record()[BAD].state is JobState.CANCELLED
        assert len(pop_events(fleet, "job-cancelled")) == 1

    def test_record_that_was_read_is_not_changed(self, fleet):
        """Guards against a state that is shown before it is stored."""
        progress = JobProgress(JobState.RUNNING, {"7.7.7": Task()})
        fleet.scheduler.add_job(make_job(name=GOOD), progress, fleet.now)
        fleet.scheduler.cancel_job(GOOD)
        assert fleet.record()[GOOD].state is JobState.CANCELLED
        assert progress.state is JobState.RUNNING


class TestFinalJobs:
    """Test jobs that are set apart as they end."""

    def test_end_of_the_job_is_recorded_before_it_is_removed(self, fleet):
        add(fleet, make_job(make_step(2, cpu=CORE), name=BAD))
        state = fleet.scheduler.state
        state.finish_job(state.jobs[BAD], JobState.FAILED, "")
        set_apart(fleet)
        assert fleet.scheduler.remove_ended_jobs() == []
        assert fleet.record()[BAD].state is JobState.FAILED
        assert fleet.scheduler.remove_ended_jobs() == [BAD]
