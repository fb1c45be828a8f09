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
    """Return the order's instance as the instance list shows it."""
    return Instance("m1", "pool", state, "zone", frozenset(), Resources(), upstream)


class FakeClient:
    """Answer maintenance orders, and list one instance."""

    def __init__(self, result, instance):
        """Set the answers; without an instance, the list can't be read."""
        self.result = result
        self.instance = instance

    async def maintain(self, instance, wave, epoch):
        """Answer a maintenance order."""
        return self.result

    async def list_instances(self):
        """Return the list, or fail."""
        if self.instance is None:
            raise InstanceListError("no answer")
        return [self.instance]


class FakeScheduler:
    """Record what is reported about upstreams."""

    def __init__(self):
        """Start without reports."""
        self.ended = []
        self.unknown_outcomes = []

    def remove_upstream(self, upstream, reason):
        """Record the end of an upstream."""
        self.ended.append(upstream)

    def mark_unreachable(self, upstream):
        """Record an unknown outcome."""
        self.unknown_outcomes.append(upstream)


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
    await manager._maintain(ORDER)
    return scheduler, progress


class TestMaintenance:
    """Test the answers to a maintenance order."""

    @pytest.mark.parametrize(
        "instance",
        [make_instance(InstanceState.MAINTENANCE, ""), make_instance("up", "u2")],
    )
    async def test_instance_going_down_ends_its_upstream(self, instance):
        scheduler, progress = await maintain(InstanceOrderResult.DONE, instance)
        assert scheduler.ended == ["u1"]
        assert progress.begun == ["m1"]

    async def test_maintenance_done_before_ends_no_new_upstream(self):
        instance = make_instance(InstanceState.UP, "u1")
        scheduler, progress = await maintain(InstanceOrderResult.DONE, instance)
        assert scheduler.ended == []
        assert progress.begun == ["m1"]

    async def test_unreadable_list_ends_no_upstream(self):
        scheduler, progress = await maintain(InstanceOrderResult.DONE, None)
        assert scheduler.ended == []
        assert progress.begun == ["m1"]

    async def test_order_without_an_answer_has_an_unknown_outcome(self):
        instance = make_instance(InstanceState.UP, "u1")
        scheduler, progress = await maintain(InstanceOrderResult.UNKNOWN, instance)
        assert scheduler.unknown_outcomes == ["u1"]
        assert progress.begun == []
