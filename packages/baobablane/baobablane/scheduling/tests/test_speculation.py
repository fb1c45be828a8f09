"""Test copies of tasks that may run twice while an upstream is unreachable."""

import pytest

from baobablane.jobs import JobState, TaskId
from baobablane.scheduling import EndReason

from .fleet_model import add, make_job, make_step

JOB = "0" * 16
FIRST = TaskId(JOB, 0, 0, 0)


@pytest.fixture
def fleet(fleet):
    """Return a fleet of two upstreams with a task that may run twice."""
    add(fleet, make_job(make_step(may_run_twice=True)))
    return fleet


def make_unreachable(fleet, upstream):
    """Make an upstream unreachable for longer than the speculation delay."""
    fleet.scheduler.renewal_failed(upstream, fleet.now)
    fleet.scheduler.expire_unreachable(fleet.now)
    fleet.now += 0.4
    fleet.renew("u1" if upstream == "u0" else "u0")
    fleet.scheduler.expire_unreachable(fleet.now)


class TestUnreachableUpstream:
    """Test a run whose upstream becomes unreachable."""

    def test_copy_starts_elsewhere_after_the_speculation_delay(self, fleet):
        (order,) = fleet.place()
        make_unreachable(fleet, order.upstream)
        (copy,) = fleet.place()
        assert copy.upstream != order.upstream
        assert copy.run == 2

    def test_task_that_may_not_run_twice_is_not_copied(self, fleet):
        fleet.place()
        add(fleet, make_job(name="1" * 16))
        (order,) = fleet.place()
        make_unreachable(fleet, order.upstream)
        assert [o for o in fleet.place() if o.task.job == "1" * 16] == []

    def test_no_copy_starts_within_the_speculation_delay(self, fleet):
        (order,) = fleet.place()
        fleet.scheduler.renewal_failed(order.upstream, fleet.now)
        fleet.scheduler.expire_unreachable(fleet.now)
        fleet.now += 0.1
        fleet.scheduler.expire_unreachable(fleet.now)
        assert fleet.place() == []

    def test_run_continues_if_its_upstream_returns_before_a_copy_starts(self, fleet):
        (order,) = fleet.place()
        make_unreachable(fleet, order.upstream)
        fleet.renew(order.upstream)
        assert fleet.place() == []
        assert fleet.send_stops() == []

    def test_first_run_is_stopped_once_a_copy_runs(self, fleet):
        (order,) = fleet.place()
        make_unreachable(fleet, order.upstream)
        fleet.place()
        fleet.renew(order.upstream)
        assert [stop.run for stop in fleet.send_stops()] == [1]

    def test_end_of_the_first_run_completes_the_job(self, fleet):
        (order,) = fleet.place()
        make_unreachable(fleet, order.upstream)
        fleet.place()
        fleet.upstreams[order.upstream].end(FIRST, EndReason.DONE)
        fleet.renew(order.upstream)
        assert fleet.scheduler.state.jobs[JOB].state is JobState.COMPLETED
        assert [stop.run for stop in fleet.send_stops()] == [2]

    def test_failures_of_both_runs_count(self, fleet):
        (order,) = fleet.place()
        make_unreachable(fleet, order.upstream)
        fleet.place()
        fleet.upstreams[order.upstream].end(FIRST, EndReason.FAILED)
        fleet.renew(order.upstream)
        fleet.finish(FIRST, EndReason.FAILED)
        fleet.renew_all()
        assert fleet.scheduler.state.jobs[JOB].state is JobState.FAILED
