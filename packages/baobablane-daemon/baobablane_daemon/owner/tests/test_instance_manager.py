"""Test how the outcomes of maintenance orders are applied."""

from types import SimpleNamespace

import pytest
from baobablane.deployment import Instance, InstanceState, Resources
from baobablane.maintenance import MaintenanceOrder, WaveProgress
from baobablane_platform import InstanceListError, InstanceOrderResult

from baobablane_daemon.owner._instance_manager import InstanceManager
from baobablane_daemon.tasks import DecisionLog

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
        SimpleNamespace(is_confirmed=lambda seconds: True),
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
