"""Test what becomes of orders for instances."""

from types import SimpleNamespace

import pytest
from baobablane.deployment import Instance, InstanceState, Resources
from baobablane.maintenance import MaintenanceOrder, WaveProgress
from baobablane_platform import InstanceListError, InstanceOrderResult

from baobablane_daemon.owner._instances_task import InstancesTask
from baobablane_daemon.tasks import DecisionLog

ORDER = MaintenanceOrder("m1", 1, "u1")


def make_instance(state, upstream):
    """Return the instance of the order as the list shows it."""
    return Instance("m1", "pool", state, "zone", frozenset(), Resources(), upstream)


class FakeClient:
    """Answer orders, and show one instance in the list."""

    def __init__(self, result, instance):
        """Keep what to answer; no instance stands for a list that can't be read."""
        self.result = result
        self.instance = instance

    async def maintain(self, instance, wave, epoch):
        """Answer an order for upkeep."""
        return self.result

    async def list_instances(self):
        """Return the list, or fail."""
        if self.instance is None:
            raise InstanceListError("no answer")
        return [self.instance]


class FakeScheduler:
    """Note what is said of upstreams."""

    def __init__(self):
        """Start with nothing said."""
        self.ended = []
        self.doubted = []

    def upstream_ended(self, upstream, reason):
        """Note an end."""
        self.ended.append(upstream)

    def unsure(self, upstream):
        """Note a doubt."""
        self.doubted.append(upstream)


async def maintain(result, instance):
    """Order an upkeep; return the scheduler and the wave's progress."""
    scheduler = FakeScheduler()
    task = InstancesTask(
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
    progress = task.progress_by_wave[1] = WaveProgress([], 0)
    await task._maintain(ORDER)
    return scheduler, progress


class TestUpkeep:
    """Test the answer to an order for upkeep."""

    @pytest.mark.parametrize(
        "instance",
        [make_instance(InstanceState.MAINTENANCE, ""), make_instance("up", "u2")],
    )
    async def test_instance_that_went_down_ends_its_upstream(self, instance):
        scheduler, progress = await maintain(InstanceOrderResult.DONE, instance)
        assert scheduler.ended == ["u1"]
        assert progress.begun == ["m1"]

    async def test_upkeep_that_was_done_before_ends_nothing(self):
        instance = make_instance(InstanceState.UP, "u1")
        scheduler, progress = await maintain(InstanceOrderResult.DONE, instance)
        assert scheduler.ended == []
        assert progress.begun == ["m1"]

    async def test_unread_list_ends_nothing(self):
        scheduler, progress = await maintain(InstanceOrderResult.DONE, None)
        assert scheduler.ended == []
        assert progress.begun == ["m1"]

    async def test_order_without_an_answer_casts_doubt(self):
        instance = make_instance(InstanceState.UP, "u1")
        scheduler, progress = await maintain(InstanceOrderResult.UNKNOWN, instance)
        assert scheduler.doubted == ["u1"]
        assert progress.begun == []
