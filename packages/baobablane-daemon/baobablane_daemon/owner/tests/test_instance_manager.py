"""Test how the outcomes of maintenance orders are applied."""

from dataclasses import replace
from types import MappingProxyType, SimpleNamespace

import pytest
from baobablane.deployment import Instance, InstanceState, Resources, Wave
from baobablane.maintenance import MaintenanceOrder, WaveProgress
from baobablane_platform import InstanceListError, InstanceOrderResult

from baobablane_daemon.decision_log import DecisionLog
from baobablane_daemon.jobs import InstanceOrderRecord, unix_ms
from baobablane_daemon.jobs._order_record import decode_order_record
from baobablane_daemon.owner._instance_manager import InstanceManager

ORDER = MaintenanceOrder("m1", 1, "u1")


def make_instance(state, upstream):
    """Return the instance of ORDER as the instance list shows it."""
    return Instance("m1", "pool", state, "zone", frozenset(), Resources(), upstream)


class FakeClient:
    """Respond to maintenance orders, and list one instance."""

    def __init__(self, result, instance):
        """Set the responses; without an instance, the list can't be read."""
        self.result = result
        self.instance = instance

    async def maintain(self, instance, wave, epoch):
        """Return the result of a maintenance order."""
        return self.result

    async def list_instances(self):
        """Return the list, or raise InstanceListError."""
        if self.instance is None:
            raise InstanceListError("no response")
        return [self.instance]


class FakeScheduler:
    """Record which upstreams are removed or marked as unreachable."""

    def __init__(self):
        """Start without recorded upstreams."""
        self.removed_upstreams = []
        self.unreachable_upstreams = []

    def remove_upstream(self, upstream, reason):
        """Record the removal of an upstream."""
        self.removed_upstreams.append(upstream)

    def mark_ordered(self, upstream, is_ordered):
        """Ignore that an end of the upstream is expected."""

    def mark_unreachable(self, upstream):
        """Record an upstream whose order has an unknown outcome."""
        self.unreachable_upstreams.append(upstream)


async def maintain(result, instance):
    """Send a maintenance order; return the scheduler and the wave's progress."""
    scheduler = FakeScheduler()
    manager = InstanceManager(
        FakeClient(result, instance),
        None,
        scheduler,
        SimpleNamespace(holds=lambda epoch, seconds: True),
        DecisionLog("entry-1"),
        1,
        3.0,
        None,
        lambda: None,
    )
    progress = manager.progress_by_wave[1] = WaveProgress([], 0)
    await manager._send_maintenance(ORDER)
    return scheduler, progress


class TestMaintenance:
    """Test the responses to a maintenance order.

    A repeated order is also reported as done, although its upstream may have restarted
    since the first one.
    """

    @pytest.mark.parametrize(
        "instance",
        [make_instance(InstanceState.MAINTENANCE, ""), make_instance("up", "u2")],
    )
    async def test_begun_maintenance_removes_the_upstream(self, instance):
        scheduler, progress = await maintain(InstanceOrderResult.DONE, instance)
        assert scheduler.removed_upstreams == ["u1"]
        assert progress.begun == ["m1"]

    async def test_repeated_order_removes_no_restarted_upstream(self):
        instance = make_instance(InstanceState.UP, "u1")
        scheduler, progress = await maintain(InstanceOrderResult.DONE, instance)
        assert scheduler.removed_upstreams == []
        assert progress.begun == ["m1"]

    async def test_unreadable_list_removes_no_upstream(self):
        scheduler, progress = await maintain(InstanceOrderResult.DONE, None)
        assert scheduler.removed_upstreams == []
        assert progress.begun == ["m1"]

    async def test_order_without_a_response_has_an_unknown_outcome(self):
        instance = make_instance(InstanceState.UP, "u1")
        scheduler, progress = await maintain(InstanceOrderResult.UNKNOWN, instance)
        assert scheduler.unreachable_upstreams == ["u1"]
        assert progress.begun == []


class TestReservations:
    """Test for how long a new owner leaves an instance alone after an order for it.

    After a restart of everything, no instance with a recent order was moved for 5 s,
    even if the new owner itself had sent the order.
    """

    def take_over(self, sender, age_seconds):
        """Return whether `m1` is reserved, given the latest order for it."""
        order = InstanceOrderRecord(unix_ms() - round(age_seconds * 1000), sender)
        views = SimpleNamespace(
            burst_starts=[], order_by_instance={"m1": order}, host_by_instance={}
        )
        manager = InstanceManager(
            None,
            views,
            None,
            SimpleNamespace(instance="entry-1"),
            DecisionLog("entry-1"),
            2,
            3.0,
            None,
            lambda: None,
        )
        manager.take_over()
        return manager._is_reserved("m1")

    def test_order_of_another_instance_reserves_for_the_platforms_minimum(self):
        assert self.take_over("entry-2", 4.0)
        assert not self.take_over("entry-2", 5.5)

    def test_own_order_reserves_only_while_it_may_still_arrive(self):
        assert self.take_over("entry-1", 1.0)
        assert not self.take_over("entry-1", 2.0)

    def test_order_of_an_unknown_sender_reserves_for_the_platforms_minimum(self):
        assert self.take_over("", 4.0)

    @pytest.mark.parametrize("record", [b"1700000000000", b'{"at_ms":1700000000000}'])
    def test_record_of_the_earlier_format_is_read(self, record):
        assert decode_order_record(record).at_ms == 1_700_000_000_000


class RoundFleet:
    """Record when a round plans by its state and when it cordons upstreams."""

    def __init__(self, events):
        """Append to the given events."""
        self._events = events

    def missing_by_step(self):
        """Return that no step misses tasks."""
        self._events.append("plan")
        return {}

    def upstream_view(self, upstream_id):
        """Return that no upstream is known."""

    def cordon(self, upstream_ids):
        """Record that no more tasks start on the upstreams."""
        self._events.append("cordon")

    def movable_runs(self, zones):
        """Return no runs."""
        return []

    def runs_by_zone(self, zones):
        """Return no zones."""
        return {}

    def zones(self):
        """Return no zones."""
        return set()


class TestRound:
    """Test that a plan is carried out on the state that it was made for.

    A record used to be written between the plan and the cordon. The round waits for it
    while the store is slow, and a task that starts on the upstream in the meantime ends
    with it, beyond its step's allowance.
    """

    async def test_nothing_is_written_between_the_plan_and_the_cordon(self):
        events = []

        async def write(values_by_key):
            events.append("write")

        views = SimpleNamespace(
            waves={}, configuration=None, evacuated_zones=frozenset()
        )
        scheduler = SimpleNamespace(
            fleet=RoundFleet(events),
            draining_upstreams=lambda: set(),
            instances_listed=lambda *arguments: None,
        )
        client = FakeClient(None, make_instance(InstanceState.UP, "u1"))
        client.unknown_states_by_instance = {}
        manager = InstanceManager(
            client,
            views,
            scheduler,
            SimpleNamespace(instance="entry-1"),
            DecisionLog("entry-1"),
            1,
            3.0,
            SimpleNamespace(write=write),
            lambda: None,
        )
        manager._sizing.forecast.record_burst("pool", 1.0)
        await manager._run_round()
        assert events == ["write", "plan", "cordon"]


class WaveClient:
    """List two instances that are up, and record the orders for them."""

    unknown_states_by_instance = MappingProxyType({})

    def __init__(self):
        """Start without orders."""
        self.ordered = []

    async def list_instances(self):
        """Return the instances `m1` and `m2`."""
        first = make_instance(InstanceState.UP, "")
        return [first, replace(first, id="m2")]

    async def maintain(self, instance, wave, epoch):
        """Record an order, and carry it out."""
        self.ordered.append(instance)
        return InstanceOrderResult.DONE


class TestOrdersOfTheEarlierOwner:
    """Test that orders which may still arrive count towards a wave's limit.

    The platform fences orders for each instance apart, so an order of the earlier owner
    for one instance is carried out after a newer owner's order for another one.
    """

    async def order_after(self, age_seconds):
        """Return the instances ordered by a new owner; one may be unavailable."""

        async def write(values_by_key):
            pass

        order = InstanceOrderRecord(unix_ms() - round(age_seconds * 1000), "entry-2")
        views = SimpleNamespace(
            waves={1: Wave(1, ("m2", "m1"), 60.0, 1)},
            progress_by_wave={},
            configuration=None,
            evacuated_zones=frozenset(),
            burst_starts=[],
            order_by_instance={"m1": order},
            host_by_instance={},
        )
        scheduler = SimpleNamespace(
            fleet=RoundFleet([]),
            draining_upstreams=lambda: set(),
            instances_listed=lambda *arguments: None,
            mark_ordered=lambda upstream, is_ordered: None,
        )
        client = WaveClient()
        manager = InstanceManager(
            client,
            views,
            scheduler,
            SimpleNamespace(instance="entry-1", holds=lambda epoch, seconds: True),
            DecisionLog("entry-1"),
            2,
            3.0,
            SimpleNamespace(write=write),
            lambda: None,
        )
        manager.take_over()
        await manager._run_round()
        return client.ordered

    async def test_order_that_may_arrive_counts_as_begun(self):
        """Guards against two instances down where one may be, after a quick claim."""
        assert await self.order_after(0.3) == []

    async def test_older_order_does_not_count(self):
        assert await self.order_after(2.5) == ["m2"]
