"""Test jobs whose queue is no longer in the configuration.

Operators remove a route while its jobs wait and run. What a job was accepted under has
to hold for its life.
"""

from dataclasses import replace

import pytest
from msgspec import structs

from baobablane.admission import DrainMeter, summarize_load
from baobablane.jobs import JobProgress, JobState, TaskId, decode_job, encode_job
from baobablane.scheduling import EndReason

from .._pool_demand import sum_demand
from .fleet_model import (
    ModelFleet,
    add,
    make_configuration,
    make_job,
    make_queue,
    make_step,
)

JOB, OTHER = "0" * 16, "1" * 16
TASK = TaskId(JOB, 0, 0, 0)
ATTEMPTS = 2
# More than any budget of a queue here allows.
ROUNDS = 10
KEPT = make_queue("kept", priority=1)


def accept(step, queue=None, accepted_ms=0, name=JOB):
    """Return a job as an entry instance accepts it in a queue, read from its record."""
    queue = queue or make_queue(attempts=ATTEMPTS)
    job = make_job(step, name=name, queue=queue.name, accepted_ms=accepted_ms)
    return decode_job(encode_job(structs.replace(job, rules=queue.rules())))


def drop_queue(fleet):
    """Apply a configuration that has only another queue."""
    fleet.configuration = make_configuration(2, queues=[KEPT])
    fleet.scheduler.set_configuration(fleet.configuration)


def fail_in_rounds(fleet):
    """Let each run fail that begins; return the number of starts of each task."""
    starts = {}
    for _ in range(ROUNDS):
        for order in fleet.place():
            starts[order.task] = starts.get(order.task, 0) + 1
        for task in list(starts):
            fleet.finish(task, EndReason.FAILED)
        fleet.renew_all()
        fleet.record()
        fleet.now += 1.0
    return starts


class TestAttempts:
    """Test tasks that always fail, after their queue was dropped."""

    @pytest.mark.parametrize(
        "fields", [{}, {"may_run_twice": True}, {"is_gang": True}], ids=str
    )
    def test_they_run_as_often_as_their_queue_allowed(self, fleet, fields):
        """Guards against a job that runs again and again, and gets no final state."""
        add(fleet, accept(make_step(2, **fields)))
        drop_queue(fleet)
        starts = fail_in_rounds(fleet)
        assert max(starts.values()) == ATTEMPTS
        assert fleet.scheduler.state.jobs[JOB].state is JobState.FAILED

    def test_new_owner_keeps_the_number(self, fleet):
        """Guards against a limit that only the owner of the time has seen."""
        job = accept(make_step())
        add(fleet, job)
        (order,) = fleet.place()
        fleet.finish(order.task, EndReason.FAILED)
        fleet.renew_all()
        progress = fleet.record()[JOB]
        drop_queue(fleet)
        fleet.epoch += 1
        fleet.scheduler = fleet.make_scheduler()
        fleet.scheduler.add_job(job, progress, fleet.now)
        fleet.renew_all()
        assert fail_in_rounds(fleet) == {TASK: ATTEMPTS - 1}

    def test_job_that_was_set_apart_fails_as_well(self, fleet):
        add(fleet, accept(make_step()))
        drop_queue(fleet)
        for _ in range(ATTEMPTS):
            (order,) = fleet.place()
            fleet.scheduler.state.set_apart(JOB, ValueError("unexpected"))
            fleet.finish(order.task, EndReason.FAILED)
            fleet.renew_all()
            fleet.record()
            fleet.now += 2.0
            fleet.place()
            fleet.now += 10.0
        assert fail_in_rounds(fleet) == {}

    def test_queue_that_is_back_adds_no_attempts(self, fleet):
        add(fleet, accept(make_step()))
        drop_queue(fleet)
        fail_in_rounds(fleet)
        fleet.scheduler.set_configuration(make_configuration(3))
        assert fail_in_rounds(fleet) == {}

    def test_record_of_an_earlier_build_allows_one_attempt(self, fleet):
        """Guards against tasks without any limit where none was recorded."""
        add(fleet, make_job(make_step()))
        drop_queue(fleet)
        assert fail_in_rounds(fleet) == {TASK: 1}

    def test_long_running_task_is_still_restarted(self, fleet):
        add(fleet, accept(make_step(is_lasting=True)))
        drop_queue(fleet)
        assert fail_in_rounds(fleet)[TASK] > ATTEMPTS

    def test_queue_in_force_goes_before_the_record(self, fleet):
        """Operators who lower the number of attempts mean the jobs that wait, too."""
        add(fleet, accept(make_step(), make_queue(attempts=5)))
        fleet.scheduler.set_configuration(
            make_configuration(2, queues=[make_queue(attempts=3)])
        )
        assert fail_in_rounds(fleet) == {TASK: 3}


class TestAdvice:
    """Test a job of an advised queue that is dropped while the job waits."""

    @pytest.fixture
    def fleet(self):
        """Return a fleet whose job waits for the one upstream that is allowed."""
        queue = replace(make_queue(), needs_advice=True)
        fleet = ModelFleet(configuration=make_configuration(queues=[queue]))
        fleet.renew_all()
        add(fleet, accept(make_step(), queue))
        fleet.plan_starts()
        (request,) = fleet.scheduler.pop_advice_requests()
        fleet.scheduler.advice_received(request, {"u1": "ticket"}, fleet.now + 3.0)
        return fleet

    def test_it_starts_with_a_ticket_only(self, fleet):
        """Guards against a start on an upstream that the advice doesn't allow."""
        fleet.scheduler.state.upstreams["u1"].no_starts_until = fleet.now + 1.0
        drop_queue(fleet)
        assert fleet.place() == []
        fleet.now += 1.5
        (order,) = fleet.place()
        assert (order.upstream, order.ticket) == ("u1", "ticket")

    def test_new_owner_asks_for_advice(self, fleet):
        drop_queue(fleet)
        fleet.scheduler = fleet.make_scheduler()
        job = accept(make_step(), replace(make_queue(), needs_advice=True))
        fleet.scheduler.add_job(job, JobProgress(), fleet.now)
        fleet.renew_all()
        assert fleet.place() == []
        assert len(fleet.scheduler.pop_advice_requests()) == 1


class TestUrgency:
    """Test that a job keeps its place beside others."""

    def test_it_goes_before_jobs_of_less_urgent_queues(self):
        """Guards against a job that waits behind all others of its pool."""
        fleet = ModelFleet(count=1, cpu=1000)
        fleet.renew_all()
        now_ms = round(fleet.now * 1000)
        add(fleet, accept(make_step(), accepted_ms=now_ms))
        add(fleet, accept(make_step(), KEPT, now_ms, OTHER))
        drop_queue(fleet)
        (order,) = fleet.place()
        assert order.task.job == JOB

    def test_it_has_a_due_time(self, fleet):
        add(fleet, accept(make_step(), accepted_ms=round(fleet.now * 1000)))
        state = fleet.scheduler.state
        before = state.due_ms(state.jobs[JOB])
        drop_queue(fleet)
        assert state.due_ms(state.jobs[JOB]) == before

    def test_its_work_counts_for_the_size_of_its_pool(self, fleet):
        """Guards against a pool that gives up instances while jobs wait for them."""
        now_ms = round(fleet.now * 1000)
        add(fleet, accept(make_step(12), accepted_ms=now_ms))
        fleet.plan_starts()
        state = fleet.scheduler.state
        before = sum_demand(state, now_ms)
        drop_queue(fleet)
        assert before["pool"].due_cores > 0.0
        assert sum_demand(state, now_ms) == before

    def test_its_work_counts_where_jobs_are_rejected(self, fleet):
        """Guards against jobs that are accepted behind work which goes first."""
        now_ms = round(fleet.now * 1000)
        add(fleet, accept(make_step(12), accepted_ms=now_ms))
        before = _accounts(fleet, now_ms)
        drop_queue(fleet)
        assert before and _accounts(fleet, now_ms) == before


def _accounts(fleet, now_ms):
    fleet.plan_starts()
    loads = summarize_load(fleet.scheduler, (), DrainMeter(), fleet.now, now_ms)
    return loads["pool"].accounts
