"""Test that a job counts as begun once an upstream has begun one of its tasks.

It counted from the order on. The only upstream for two jobs rejected all starts, and
they were missing from the count of their queue's pending jobs.
"""

import pytest

from baobablane.jobs import JobState, TaskId
from baobablane.scheduling import EndReason, StartResult

from .fleet_model import add, make_job, make_step

JOB = "0" * 16
FIRST = TaskId(JOB, 0, 0, 0)
UNSENT = [
    StartResult.REFUSED,
    StartResult.NO_ROOM,
    StartResult.NO_TICKET,
    StartResult.LATE,
    StartResult.NOT_SENT,
    StartResult.MALFORMED,
    StartResult.OTHER_INCARNATION,
    StartResult.UNKNOWN,
]


def state_of(fleet):
    """Return the job's state."""
    return fleet.scheduler.state.jobs[JOB].state


@pytest.mark.parametrize("result", UNSENT)
class TestRejectedStarts:
    """Test starts that no upstream is known to have carried out."""

    def test_job_is_still_pending(self, fleet, result):
        """Guards against pending jobs that are missing from their queue's count."""
        add(fleet, make_job(make_step(2)))
        for order in fleet.plan_starts():
            fleet.scheduler.start_answered(order, result, fleet.now)
            assert state_of(fleet) is JobState.PENDING
        recorded = fleet.scheduler.pop_dirty_progress()
        assert all(p.state is JobState.PENDING for p in recorded.values())

    def test_job_is_running_after_a_later_start(self, fleet, result):
        """Guards against jobs that run and count as pending."""
        add(fleet, make_job(make_step(2)))
        first, second = fleet.plan_starts()
        fleet.scheduler.start_answered(first, result, fleet.now)
        fleet.send(second)
        assert fleet.record()[JOB].state is JobState.RUNNING


class TestBegunTasks:
    """Test what shows that a task has begun."""

    def start_without_response(self, fleet):
        """Let an upstream carry out a start of which the response is lost."""
        add(fleet, make_job())
        (order,) = fleet.plan_starts()
        model = fleet.upstreams[order.upstream]
        model.start(order, fleet.epoch, fleet.now + 5.0, fleet.now)
        fleet.scheduler.start_answered(order, StartResult.UNKNOWN, fleet.now)
        assert state_of(fleet) is JobState.PENDING
        return order.upstream

    def test_report_that_lists_it(self, fleet):
        """Guards against a lost response by which a job counts as pending."""
        fleet.renew(self.start_without_response(fleet))
        assert fleet.record()[JOB].state is JobState.RUNNING

    @pytest.mark.parametrize(
        "reason", [EndReason.FAILED, EndReason.LAPSED, EndReason.BROKEN]
    )
    def test_report_of_its_end(self, fleet, reason):
        """Guards against a task that ends before the first report."""
        upstream = self.start_without_response(fleet)
        fleet.finish(FIRST, reason)
        fleet.renew(upstream)
        assert fleet.record()[JOB].state is JobState.RUNNING

    def test_report_to_the_next_owner(self, fleet):
        """Guards against a job that began under an owner which did not record it."""
        job = make_job()
        add(fleet, job)
        (order,) = fleet.plan_starts()
        progress = fleet.scheduler.state.jobs[JOB].progress()
        fleet.send(order)
        assert progress.state is JobState.PENDING
        fleet.epoch += 1
        fleet.scheduler = fleet.make_scheduler()
        fleet.scheduler.add_job(job, progress, fleet.now)
        assert state_of(fleet) is JobState.PENDING
        fleet.renew_all()
        assert fleet.record()[JOB].state is JobState.RUNNING
