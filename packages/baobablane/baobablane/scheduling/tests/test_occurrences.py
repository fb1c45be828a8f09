"""Test that a periodic job holds and records only its open occurrences.

A job whose occurrences were all due used to be opened as a whole, which exhausted the
memory of each owner in turn. The records of its progress grew with each occurrence.
"""

import pytest
from msgspec.structs import replace

from baobablane.jobs import JobProgress, JobState, Task, TaskId, TaskState
from baobablane.scheduling._job_run import MAX_OPEN_TASKS, JobRun

from .fleet_model import ModelFleet, add, make_job, make_step

JOB = "0" * 16
ALL_DUE_MS = 10**9


def make_periodic_job(occurrences, count=1):
    """Return a job whose occurrences are all due."""
    job = make_job(make_step(count))
    return replace(job, occurrences=occurrences, first_due_ms=1)


class TestOpening:
    """Test how many occurrences are open."""

    @pytest.mark.parametrize("occurrences", [10**6, 10**18])
    def test_open_tasks_are_limited(self, occurrences):
        job_run = JobRun(make_periodic_job(occurrences), None, 0.0)
        job_run.open_due_occurrences(ALL_DUE_MS)
        assert sum(s.step.count for s in job_run.steps.values()) == MAX_OPEN_TASKS

    def test_one_occurrence_is_open_however_large_it_is(self):
        job_run = JobRun(make_periodic_job(3, MAX_OPEN_TASKS + 1), None, 0.0)
        job_run.open_due_occurrences(ALL_DUE_MS)
        assert [key[0] for key in job_run.steps] == [0]

    def test_later_occurrences_open_as_earlier_ones_end(self):
        fleet = ModelFleet(count=1)
        fleet.renew_all()
        add(fleet, make_periodic_job(3, MAX_OPEN_TASKS // 2 + 1))
        started = set()
        while fleet.scheduler.state.jobs[JOB].state is not JobState.COMPLETED:
            for order in fleet.place():
                started.add(order.task.occurrence)
                fleet.finish(order.task)
            fleet.renew_all()
        assert started == {0, 1, 2}


class TestRecords:
    """Test that a job resumes from a record without its ended occurrences."""

    def finish_first_occurrence(self):
        """Return a fleet in which the first of three occurrences has ended."""
        fleet = ModelFleet(count=1, cpu=1000)
        fleet.renew_all()
        add(fleet, make_periodic_job(3))
        fleet.place()
        fleet.finish(TaskId(JOB, 0, 0, 0))
        fleet.renew_all()
        return fleet

    def test_ended_occurrences_are_left_out(self):
        fleet = self.finish_first_occurrence()
        progress = fleet.record()[JOB]
        assert progress.first_open == 1
        assert progress.tasks == {}

    def test_new_owner_starts_no_ended_occurrence(self):
        fleet = self.finish_first_occurrence()
        progress = fleet.record()[JOB]
        fleet.scheduler = fleet.make_scheduler()
        fleet.scheduler.add_job(make_periodic_job(3), progress, fleet.now)
        fleet.renew_all()
        assert [order.task.occurrence for order in fleet.place()] == [1]

    def test_ended_occurrence_behind_an_open_one_is_recorded(self):
        fleet = ModelFleet(count=1, cpu=2000)
        fleet.renew_all()
        add(fleet, make_periodic_job(3))
        fleet.place()
        fleet.finish(TaskId(JOB, 1, 0, 0))
        fleet.renew_all()
        progress = fleet.record()[JOB]
        assert progress.first_open == 0
        assert progress.tasks["1.0.0"].state is TaskState.DONE

    def test_record_of_the_earlier_format_is_resumed(self):
        progress = JobProgress(
            JobState.RUNNING,
            {"0.0.0": Task(TaskState.DONE, 1), "1.0.0": Task(TaskState.DONE, 1)},
        )
        job_run = JobRun(make_periodic_job(3), progress, 0.0)
        job_run.open_due_occurrences(ALL_DUE_MS)
        assert [key[0] for key in job_run.steps] == [2]

    @pytest.mark.parametrize(
        "key", ["999999999.0.0", "-1.0.0", "0.7.0", "0.0.9", "x", "0.0"]
    )
    def test_progress_of_a_task_that_the_job_lacks_is_an_error(self, key):
        with pytest.raises(ValueError, match="task"):
            JobRun(make_periodic_job(3), JobProgress(tasks={key: Task()}), 0.0)
