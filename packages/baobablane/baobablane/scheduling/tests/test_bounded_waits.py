"""Test that no reason keeps a long-running task waiting for long beside free room.

The callers' rule is that it runs again 6 s after its last run at the latest.
"""

from dataclasses import replace

import pytest

from baobablane.deployment import Resources
from baobablane.jobs import TaskId

from .fleet_model import (
    CORE,
    ModelFleet,
    ModelUpstream,
    add,
    make_configuration,
    make_job,
    make_queue,
    make_step,
)
from .waiting_model import WaitingFleet

JOB, OTHER_JOB = "1" * 16, "2" * 16
TASK = TaskId(JOB, 0, 0, 0)
MAX_WAIT_SECONDS = 6.0


class TestSuspects:
    """Test suspects of crashes whose causes stay unknown."""

    def start_and_lose(self, fleet, lose):
        """Start a task, lose its upstream, and return that of its trial."""
        add(fleet, make_job(make_step(is_lasting=True), name=JOB))
        (order,) = fleet.place()
        lose(order.upstream)
        while self.task(fleet).run == 1:
            fleet.advance(0.25)
        return self.task(fleet).upstream

    def task(self, fleet):
        """Return the progress of the task."""
        return fleet.scheduler.state.jobs[JOB].find_task(TASK)[1]

    def test_two_losses_without_news_hold_a_task_for_seconds_only(self):
        fleet = WaitingFleet()
        # It never returns, so it stays unknown whether its upstream crashed.
        fleet.crash(self.start_and_lose(fleet, fleet.remove))
        fleet.advance(MAX_WAIT_SECONDS)
        assert fleet.runs_of(TASK) == 1

    def test_upstream_that_is_down_after_a_trial_holds_up_no_other_trial(self):
        fleet = WaitingFleet()

        def cut_power_with_an_idle_one(name):
            fleet.cut_power(name)
            fleet.cut_power("u5")

        fleet.remove(self.start_and_lose(fleet, cut_power_with_an_idle_one))
        fleet.calm(MAX_WAIT_SECONDS)
        assert len(self.task(fleet).losses) <= 1
        assert fleet.runs_of(TASK) == 1

    def test_upstream_that_does_not_return_after_a_trial_is_not_waited_for(self):
        fleet = WaitingFleet(4)
        # Something runs on each upstream, so only one of them may be risked.
        for name in "3456":
            add(
                fleet,
                make_job(make_step(cpu=3 * CORE, is_lasting=True), name=name * 16),
            )
        fleet.advance(1.0)
        fleet.remove(self.start_and_lose(fleet, fleet.remove))
        fleet.calm(MAX_WAIT_SECONDS)
        assert fleet.runs_of(TASK) == 1

    def test_suspect_is_tried_on_an_ejected_upstream_if_the_others_are_full(self):
        fleet = WaitingFleet(5)
        for name in "345":
            add(
                fleet,
                make_job(make_step(cpu=4 * CORE, is_lasting=True), name=name * 16),
            )
        fleet.advance(1.0)
        ejections = fleet.scheduler.state.ejections
        # Each probe after an ejection has failed, so the latest one lasts for long.
        failed_at = fleet.now - 60.0
        while not ejections.is_ejected("u4", fleet.now + 2 * MAX_WAIT_SECONDS):
            ejections.record_sent("u4", failed_at)
            ejections.record_failure("u4", list(fleet.upstreams), failed_at)
            failed_at += 6.0
        assert failed_at <= fleet.now
        add(fleet, make_job(make_step(is_lasting=True), name=JOB))
        (order,) = fleet.place()
        fleet.remove(order.upstream)
        fleet.calm(MAX_WAIT_SECONDS)
        assert fleet.runs_of(TASK) == 1

    def test_cleared_suspect_is_not_suspected_for_its_earlier_run(self):
        fleet = WaitingFleet()
        # The list of instances can't be read.
        fleet.list_instances = lambda: None
        add(fleet, make_job(make_step(is_lasting=True, may_run_twice=True), name=JOB))
        (order,) = fleet.place()
        fleet.silence(order.upstream, 20.0)
        fleet.advance(10.0)
        assert self.task(fleet).run == 2
        events = [event.event for event in fleet.scheduler.pop_events()]
        assert events.count("run-lost") == events.count("suspect-cleared") == 1


class TestReservations:
    """Test upstreams that are kept free for tasks that find no room."""

    def test_task_that_can_never_start_reserves_no_upstream(self):
        fleet = ModelFleet(count=2)
        fleet.renew_all()
        step = make_step(3, is_lasting=True, most_per_upstream=1)
        add(fleet, make_job(step, name=JOB))
        assert len(fleet.place()) == 2
        add(fleet, make_job(make_step(6), name=OTHER_JOB))
        assert len(fleet.place()) == 6


class TestAdvice:
    """Test tasks that wait for the placement advisor."""

    @pytest.mark.parametrize("room", [CORE, 0])
    def test_ticket_for_an_upstream_with_too_little_room_does_not_end_the_search(
        self, room
    ):
        queue = replace(make_queue(), needs_advice=True)
        queues = [queue, make_queue("other")]
        fleet = ModelFleet(configuration=make_configuration(queues=queues))
        fleet.renew_all()
        cpu = 4 * CORE - room
        add(
            fleet,
            make_job(make_step(1, cpu, is_lasting=True), name=OTHER_JOB, queue="other"),
        )
        (full,) = fleet.place()
        step = make_step(cpu=2 * CORE, is_lasting=True)
        add(fleet, make_job(step, name=JOB))
        fleet.plan_starts()
        (request,) = fleet.scheduler.pop_advice_requests()
        tickets = {full.upstream: "ticket"}
        (other,) = fleet.upstreams.keys() - {full.upstream}
        request = replace(request, upstreams=(full.upstream,))
        fleet.scheduler.advice_received(request, tickets, fleet.now + 600.0)
        assert fleet.plan_starts() == []
        (again,) = fleet.scheduler.pop_advice_requests()
        assert again.upstreams == (other,)


class TestUnfitPools:
    """Test a task that no upstream can run, once one comes that can."""

    @pytest.fixture
    def fleet(self, fleet):
        """Return a fleet with a task that no upstream can run."""
        step = make_step(cpu=8 * CORE, is_lasting=True, required_label="disk")
        add(fleet, make_job(step, name=JOB))
        for _ in range(10):
            fleet.now += 1.0
            fleet.renew_all()
            assert fleet.place() == []
        return fleet

    def list_fitting(self, fleet, name):
        """List an upstream as one that can run the task."""
        entry = replace(
            fleet.upstreams["u0"].entry,
            id=name,
            capacity=Resources(8 * CORE, 1_000_000, 0),
            labels=frozenset({"disk"}),
        )
        fleet.upstreams.setdefault(name, ModelUpstream(entry))
        fleet.scheduler.upstream_listed(entry, fleet.now)

    def test_task_starts_in_the_round_after_an_upstream_has_changed(self, fleet):
        self.list_fitting(fleet, "u0")
        assert [order.upstream for order in fleet.place()] == ["u0"]

    def test_task_starts_in_the_round_after_the_first_report_of_another(self, fleet):
        self.list_fitting(fleet, "u9")
        fleet.renew("u9")
        assert [order.upstream for order in fleet.place()] == ["u9"]

    def test_task_starts_in_the_round_after_its_queue_has_another_pool(self, fleet):
        self.list_fitting(fleet, "u9")
        known = fleet.scheduler.state.upstreams["u9"]
        known.entry = replace(known.entry, pool="other")
        fleet.renew("u9")
        assert fleet.place() == []
        queues = [make_queue(pool="other")]
        fleet.scheduler.set_configuration(make_configuration(2, queues=queues))
        assert [order.upstream for order in fleet.place()] == ["u9"]


class TestEvacuationView:
    """Test tasks that wait because it is not known which zones are evacuated."""

    @pytest.mark.parametrize("outage_seconds", [1.0, 300.0])
    def test_task_starts_in_the_round_after_the_view_is_confirmed(
        self, fleet, outage_seconds
    ):
        add(fleet, make_job(make_step(is_lasting=True), name=JOB))
        fleet.scheduler.set_evacuation(frozenset(), allows_starts=False)
        assert fleet.place() == []
        fleet.now += outage_seconds
        fleet.renew_all()
        assert fleet.place() == []
        fleet.scheduler.set_evacuation(frozenset(), allows_starts=True)
        assert [order.task for order in fleet.place()] == [TASK]
