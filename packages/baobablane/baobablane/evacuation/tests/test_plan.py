"""Test starts and moves of tasks while a zone is evacuated, in virtual time."""

from dataclasses import replace

import pytest

from baobablane.evacuation import plan_evictions
from baobablane.scheduling.tests.fleet_model import (
    CORE,
    ModelFleet,
    add,
    make_configuration,
    make_job,
    make_queue,
    make_step,
)


@pytest.fixture
def fleet():
    """Return a fleet with `u0` in zone `a` and `u1` in zone `b`."""
    return make_fleet()


def make_fleet(**queue_fields):
    """Return a fleet with one queue."""
    queue = replace(make_queue(), **queue_fields)
    fleet = ModelFleet(configuration=make_configuration(queues=[queue]))
    for model, zone in zip(fleet.upstreams.values(), "ab", strict=True):
        model.entry = replace(model.entry, zone=zone)
        fleet.scheduler.upstream_listed(model.entry, fleet.now)
    fleet.renew_all()
    return fleet


def evacuate(fleet, *zones):
    """Evacuate exactly the given zones."""
    fleet.scheduler.set_evacuation(frozenset(zones), True)


def plan(fleet, ending=()):
    """Return the tasks to evict from zone `a`, and mark them."""
    orders = plan_evictions({"a"}, fleet.scheduler.fleet, ending, fleet.now)
    for order in orders:
        fleet.scheduler.fleet.evict(order)
    return [order.task.position for order in orders]


def run_in_zone_a(fleet, **step):
    """Run the long-running tasks of a step in zone `a`, and evacuate it."""
    evacuate(fleet, "b")
    add(fleet, make_job(make_step(is_lasting=True, **step)))
    fleet.place()
    answer_advice(fleet, "u0")
    fleet.place()
    for task in fleet.upstreams["u0"].running:
        fleet.upstreams["u0"].percent[task] = 100
    fleet.renew_all()
    evacuate(fleet, "a")


def answer_advice(fleet, upstream):
    """Answer the requests to the advisor by allowing one upstream."""
    for request in fleet.scheduler.pop_advice_requests():
        assert request.upstreams == (upstream,)
        tickets = {upstream: "t"}
        fleet.scheduler.advice_received(request, tickets, fleet.now + 3.0)


class TestStarts:
    """Test that nothing starts in an evacuated zone."""

    @pytest.mark.parametrize("kind", ["is_gang", "is_lasting", "is_filler"])
    def test_tasks_start_only_in_other_zones(self, fleet, kind):
        """Guard against a kind of task that still starts in the zone."""
        evacuate(fleet, "a", "unknown")
        add(fleet, make_job(make_step(2), make_step(2, **{kind: True})))
        assert {order.upstream for order in fleet.place()} == {"u1"}

    def test_withdrawal_leaves_the_cordons_of_a_wave(self, fleet):
        """Guard against starts on an instance that is due for maintenance."""
        evacuate(fleet, "a", "b")
        fleet.scheduler.fleet.cordon({"u0"})
        add(fleet, make_job())
        assert fleet.place() == []
        evacuate(fleet)
        assert [order.upstream for order in fleet.place()] == ["u1"]


class TestMoves:
    """Test which long-running tasks leave an evacuated zone."""

    @pytest.mark.parametrize("needs_advice", [False, True])
    def test_task_moves_to_another_zone(self, needs_advice):
        """Guard against tasks that stay, or that the advisor allows nowhere else."""
        fleet = make_fleet(needs_advice=needs_advice)
        run_in_zone_a(fleet)
        if needs_advice:
            assert plan(fleet) == []
            fleet.plan_starts()
            answer_advice(fleet, "u1")
        assert plan(fleet) == [0]
        fleet.send_stops()
        fleet.renew_all()
        assert [order.upstream for order in fleet.place()] == ["u1"]
        assert plan(fleet) == []

    def test_no_task_is_stopped_without_room_elsewhere(self, fleet):
        """Guard against stopped tasks that can start nowhere."""
        run_in_zone_a(fleet, count=2, cpu=2 * CORE)
        add(fleet, make_job(make_step(2), name="1" * 16))
        fleet.place()
        # The other zone has two cores left.
        assert (plan(fleet), plan(fleet)) == ([0], [])

    @pytest.mark.parametrize(("ending", "moves"), [({"u1"}, 0), (set(), 1)])
    def test_maintenance_in_another_zone_uses_the_allowance_too(
        self, fleet, ending, moves
    ):
        # Two tasks of a step were ended at once, where one may be away.
        add(fleet, make_job(make_step(4, is_lasting=True, may_miss=1)))
        fleet.place()
        for model in fleet.upstreams.values():
            assert model.running
            model.percent.update(dict.fromkeys(model.running, 100))
        fleet.renew_all()
        evacuate(fleet, "a")
        assert len(plan(fleet, ending)) == moves

    def test_moves_and_maintenance_share_the_allowance(self, fleet):
        """Guard against more missing tasks than the step allows."""
        run_in_zone_a(fleet, count=3, may_miss=1)
        assert plan(fleet, ending={"u0"}) == []
        assert (plan(fleet), plan(fleet)) == ([0], [])
