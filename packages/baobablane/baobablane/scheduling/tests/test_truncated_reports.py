"""Test reports that list only some of the ends that are not acknowledged yet.

After a takeover, or while the store rejected writes, an upstream had more of them than
a report lists. The other runs were taken for lost, so tasks that had ended ran again.
"""

from dataclasses import replace

import pytest

from baobablane.jobs import JobState, TaskId
from baobablane.scheduling import StartResult

from .fleet_model import CORE, ModelFleet, add, make_job, make_step

JOB = "0" * 16
TASKS = 24
MAX_LISTED_ENDS = 5


@pytest.fixture
def fleet():
    """Return two upstreams that list few ends and run about half of a job each."""
    fleet = ModelFleet(cpu=(TASKS // 2 + 1) * CORE)
    for model in fleet.upstreams.values():
        model.max_listed_ends = MAX_LISTED_ENDS
    fleet.renew_all()
    add(fleet, make_job(make_step(TASKS)))
    for order in fleet.scheduler.plan_starts(fleet.now, 0):
        fleet.send(order)
    fleet.recorded = fleet.scheduler.pop_dirty_progress()[JOB]
    return fleet


def finish_all(fleet):
    """End all runs that upstreams have."""
    for model in fleet.upstreams.values():
        for task in list(model.running):
            fleet.finish(task)


def renew_until_done(fleet):
    """Renew and record until the job is done; return the orders that this takes."""
    orders = []
    for _ in range(TASKS):
        fleet.renew_all()
        orders += fleet.place()
        finish_all(fleet)
        job_run = fleet.scheduler.state.jobs.get(JOB)
        if job_run is None or job_run.state is JobState.COMPLETED:
            return orders
        fleet.send_stops()
    raise AssertionError("the job was not completed")


def take_over(fleet):
    """Replace the owner by one that knows that all tasks have started."""
    fleet.epoch += 1
    fleet.scheduler = fleet.make_scheduler()
    fleet.scheduler.add_job(make_job(make_step(TASKS)), fleet.recorded, fleet.now)


class TestTruncatedReports:
    """Test runs that have ended and that a report does not list."""

    def test_new_owner_starts_no_task_again(self, fleet):
        finish_all(fleet)
        take_over(fleet)
        assert renew_until_done(fleet) == []

    def test_owner_that_cannot_record_starts_no_task_again(self, fleet):
        finish_all(fleet)
        for _ in range(5):
            for name, model in fleet.upstreams.items():
                # Nothing is recorded, so nothing is acknowledged.
                fleet.now += 0.8
                report = model.report(0)
                now = fleet.now
                fleet.scheduler.report_received(name, report, now - 0.01, now)
            assert fleet.scheduler.plan_starts(fleet.now, 0) == []
        assert renew_until_done(fleet) == []

    def test_ends_as_many_as_a_report_lists(self, fleet):
        model = next(iter(fleet.upstreams.values()))
        for task in list(model.running)[:MAX_LISTED_ENDS]:
            fleet.finish(task)
        take_over(fleet)
        fleet.renew_all()
        assert fleet.place() == []

    def test_stop_of_a_run_with_a_hidden_end_does_not_prove_its_loss(self, fleet):
        # Its start had an unknown outcome, so it is stopped after it has ended.
        last = TaskId(JOB, 0, 0, TASKS - 1)
        for upstream in fleet.scheduler.state.upstreams.values():
            if last in upstream.runs:
                upstream.runs[last].confirmed_at = None
                upstream.runs[last].needs_stop = True
        finish_all(fleet)
        for _ in range(3):
            fleet.send_stops()
            fleet.now += 1.0
        assert renew_until_done(fleet) == []

    def test_lost_run_starts_again_once_all_ends_are_listed(self, fleet):
        name, model = next(iter(fleet.upstreams.items()))
        lost = next(iter(model.running))
        del model.running[lost]
        finish_all(fleet)
        take_over(fleet)
        orders = renew_until_done(fleet)
        assert [(order.task, order.run) for order in orders] == [(lost, 2)]

    def test_unknown_start_is_stopped_once_all_ends_are_listed(self, fleet):
        add(fleet, make_job(name="1" * 16))
        (order,) = fleet.plan_starts()
        fleet.scheduler.start_answered(order, StartResult.UNKNOWN, fleet.now)
        finish_all(fleet)
        fleet.renew_all()
        assert fleet.send_stops() == []
        for _ in range(TASKS // MAX_LISTED_ENDS):
            fleet.record()
            fleet.renew_all()
        assert [stop.task for stop in fleet.send_stops()] == [order.task]
        fleet.renew_all()
        assert [(again.task, again.run) for again in fleet.place()] == [(order.task, 2)]

    def test_run_in_an_unreadable_row_is_not_lost(self, fleet):
        name, model = next(iter(fleet.upstreams.items()))
        task = next(iter(model.running))
        report = model.report(0)
        report = replace(
            report,
            running=tuple(row for row in report.running if row.task != task),
            unreadable_tasks=frozenset({task}),
        )
        fleet.scheduler.report_received(name, report, fleet.now + 1, fleet.now + 1)
        assert fleet.plan_starts() == []
