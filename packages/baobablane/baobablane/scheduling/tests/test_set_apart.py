"""Test that work on one job that raises an error does not stop all others.

The owner's exceptions used to end the process, and its successor met the same job.
"""

import pytest

from baobablane.jobs import JobProgress, JobState, Task, TaskId, TaskState
from baobablane.scheduling import EndReason

from .fleet_model import ModelFleet, add, make_job, make_step

BAD = "b" * 16
GOOD = "a" * 16


def make_bad_job():
    """Return a job whose second step waits for a step that doesn't exist."""
    return make_job(make_step(), make_step(after=(9,)), name=BAD)


@pytest.fixture
def fleet():
    """Return a fleet with one job that raises errors and one that does not."""
    fleet = ModelFleet()
    fleet.renew_all()
    add(fleet, make_bad_job())
    add(fleet, make_job(name=GOOD))
    return fleet


class TestSetApart:
    """Test which jobs are set apart, and what remains of them."""

    def test_other_jobs_are_placed(self, fleet):
        orders = fleet.place()
        assert {order.task.job for order in orders} >= {GOOD}

    def test_error_in_the_measurement_of_pressure_sets_one_job_apart(
        self, fleet, monkeypatch
    ):
        """Guards against a job whose work can't be measured and that ends the owner."""
        unmeasurable = "c" * 16
        add(fleet, make_job(name=unmeasurable))
        job_runs = fleet.scheduler.state.jobs
        work = type(job_runs[GOOD]).work

        def raise_for_one_job(job_run, run_times):
            if job_run.job.id == unmeasurable:
                raise KeyError("no such step")
            return work(job_run, run_times)

        monkeypatch.setattr(type(job_runs[GOOD]), "work", raise_for_one_job)
        assert {order.task.job for order in fleet.place()} == {GOOD}
        assert unmeasurable in fleet.scheduler.state.apart_by_id

    def test_error_is_reported_once(self, fleet):
        for _ in range(3):
            fleet.place()
        events = [e for e in fleet.scheduler.pop_events() if e.event == "job-set-apart"]
        assert [event.job for event in events] == [BAD]
        assert "9" in events[0].reason

    def test_job_set_apart_is_not_added_again(self, fleet):
        fleet.place()
        add(fleet, make_bad_job())
        assert BAD not in fleet.scheduler.state.jobs
        assert BAD in fleet.scheduler.state.apart_by_id

    def test_malformed_progress_sets_a_job_apart(self, fleet):
        job = make_job(name="c" * 16)
        fleet.scheduler.add_job(job, JobProgress(tasks={"7.7.7": Task()}), fleet.now)
        assert job.id in fleet.scheduler.state.apart_by_id
        assert GOOD in {order.task.job for order in fleet.place()}

    def test_job_out_of_its_limits_is_set_apart(self, fleet):
        job = make_job(make_step(10**9), name="c" * 16)
        add(fleet, job)
        assert job.id in fleet.scheduler.state.apart_by_id

    def test_runs_of_a_job_set_apart_are_neither_stopped_nor_restarted(self):
        fleet = ModelFleet()
        fleet.renew_all()
        add(fleet, make_job(make_step(2), name=BAD))
        (first, _) = fleet.place()
        fleet.scheduler.state.set_apart(BAD, ValueError("no such step"))
        assert fleet.send_stops() == []
        fleet.finish(first.task)
        fleet.renew_all()
        assert fleet.place() == []
        assert fleet.runs_of(TaskId(BAD, 0, 0, 1)) == 1

    def test_room_of_a_step_that_failed_half_way_is_free_again(self, monkeypatch):
        fleet = ModelFleet(count=1)
        fleet.renew_all()
        job = make_job(make_step(3), name=BAD)
        add(fleet, job)
        monkeypatch.setattr(
            "baobablane.scheduling._starting._commit_start",
            lambda *args: (_ for _ in ()).throw(KeyError("commit")),
        )
        assert fleet.place() == []
        monkeypatch.undo()
        (upstream,) = fleet.scheduler.state.upstreams.values()
        assert upstream.runs == {}
        add(fleet, make_job(make_step(4), name=GOOD))
        assert len(fleet.place()) == 4

    def test_cancelled_job_is_stopped_although_it_was_set_apart(self):
        fleet = ModelFleet()
        fleet.renew_all()
        add(fleet, make_job(name=BAD))
        fleet.place()
        fleet.scheduler.state.set_apart(BAD, ValueError("no such step"))
        fleet.scheduler.cancel_job(BAD)
        assert [stop.task.job for stop in fleet.send_stops()] == [BAD]

    def test_cancellation_of_a_job_set_apart_is_recorded(self):
        """Guards against a cancelled job that callers are shown as running for good."""
        fleet = ModelFleet()
        fleet.renew_all()
        job = make_job(name=BAD)
        add(fleet, job)
        fleet.place()
        fleet.scheduler.state.set_apart(BAD, ValueError("no such step"))
        fleet.scheduler.cancel_job(BAD)
        add(fleet, job)
        assert fleet.record() == {BAD: JobProgress(JobState.CANCELLED)}
        assert fleet.scheduler.remove_ended_jobs() == []
        fleet.send_stops()
        fleet.renew_all()
        # The end of the stopped run is recorded before the job is removed.
        assert fleet.scheduler.remove_ended_jobs() == []
        assert fleet.record() == {BAD: JobProgress(JobState.CANCELLED)}
        assert fleet.scheduler.remove_ended_jobs() == [BAD]
        assert BAD not in fleet.scheduler.state.apart_by_id


class TestReports:
    """Test that one row of a report that raises an error does not hide the others."""

    def test_rows_after_one_that_raises_are_applied(self, monkeypatch):
        fleet = ModelFleet(count=1)
        fleet.renew_all()
        add(fleet, make_job(name=BAD))
        add(fleet, make_job(name=GOOD))
        fleet.place()
        job_run = fleet.scheduler.state.jobs[BAD]
        monkeypatch.setattr(type(job_run), "is_complete", self.raise_for_bad_job)
        for name in (BAD, GOOD):
            fleet.finish(TaskId(name, 0, 0, 0), EndReason.DONE)
        fleet.renew_all()
        assert fleet.scheduler.state.jobs[GOOD].state is JobState.COMPLETED
        assert BAD in fleet.scheduler.state.apart_by_id

    @staticmethod
    def raise_for_bad_job(job_run):
        """Raise for the job BAD, and report any other job as complete."""
        if job_run.job.id == BAD:
            raise KeyError("no such occurrence")
        return True

    def test_task_state_of_a_restored_job_is_kept(self):
        progress = JobProgress(JobState.RUNNING, {"0.0.0": Task(TaskState.DONE, 1)})
        fleet = ModelFleet(count=1)
        fleet.renew_all()
        job = make_job(make_step(2), name=GOOD)
        fleet.scheduler.add_job(job, progress, fleet.now)
        assert [order.task.position for order in fleet.place()] == [1]
