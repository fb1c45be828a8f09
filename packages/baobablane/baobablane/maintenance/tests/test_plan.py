"""Test which instances of a wave are maintained next, and when."""

import pytest

from baobablane.deployment import Instance, InstanceState, Resources, Wave
from baobablane.jobs import TaskId
from baobablane.maintenance import WaveProgress, plan_maintenance
from baobablane.scheduling import StopOrder, UpstreamView

STEP = ("0" * 16, 0)
DUE_MS = 60_000


class StubFleetView:
    """Stand in for the scheduler's view of the fleet."""

    def __init__(self, views, missing=None):
        """Set the views of upstreams and the missing tasks by step."""
        self.views = {view.id: view for view in views}
        self.missing = missing or {}

    def upstream_view(self, name):
        """Return an upstream's view."""
        return self.views.get(name)

    def missing_by_step(self):
        """Return how many long-running tasks of each step are not ready."""
        return dict(self.missing)


def make_view(number, short=0, lasting=0, allowance=1, is_reachable=True, starting=0):
    """Return a view of an upstream with the given numbers of tasks."""
    stops = [
        StopOrder(TaskId(STEP[0], 0, 0, number * 10 + n), 1, f"u{number}")
        for n in range(lasting)
    ]
    lasting_by_step = {STEP: stops} if stops else {}
    return UpstreamView(
        f"u{number}",
        "pool",
        False,
        is_reachable,
        short,
        lasting_by_step,
        starting,
        {STEP: allowance},
    )


def make_instances(count, state=InstanceState.UP):
    """Return instances with one upstream each."""
    return [
        Instance(f"m{n}", "pool", state, "zone", frozenset(), Resources(), f"u{n}")
        for n in range(count)
    ]


def plan_wave(
    views, instances, max_concurrent=1, begun=(), missing=None, unix_ms=0, ordered=()
):
    """Plan one wave over all instances."""
    wave = Wave(1, tuple(instance.id for instance in instances), 60.0, max_concurrent)
    progress = {1: WaveProgress(list(begun), DUE_MS)}
    return plan_maintenance(
        [wave],
        progress,
        instances,
        StubFleetView(views, missing),
        unix_ms,
        lambda instance, _: instance in ordered,
    )


class TestOrder:
    """Test which instances are maintained first, and how many at the same time."""

    def test_idle_instance_is_maintained_before_a_busy_one(self):
        views = [make_view(0, short=2), make_view(1)]
        result = plan_wave(views, make_instances(2))
        assert [order.instance for order in result.orders] == ["m1"]

    def test_unavailable_instances_count_towards_the_limit(self):
        instances = make_instances(2) + make_instances(3, InstanceState.MAINTENANCE)[2:]
        result = plan_wave([make_view(n) for n in range(2)], instances, 2, begun=["m2"])
        assert len(result.orders) == 1

    def test_orders_in_progress_count_towards_the_limit(self):
        result = plan_wave(
            [make_view(n) for n in range(3)], make_instances(3), 1, (), {}, 0
        )
        assert len(result.orders) == 1
        views = [make_view(n) for n in range(3)]
        result = plan_wave(views, make_instances(3), 1, ordered=("m0",))
        assert result.orders == []

    def test_short_tasks_are_waited_for(self):
        result = plan_wave([make_view(0, short=1)], make_instances(1))
        assert result.orders == []
        assert result.cordoned_upstreams == {"u0"}

    def test_short_tasks_are_not_waited_for_near_the_deadline(self):
        result = plan_wave(
            [make_view(0, short=1)], make_instances(1), unix_ms=DUE_MS - 3000
        )
        assert [order.instance for order in result.orders] == ["m0"]


class TestAllowance:
    """Test how many long-running tasks of a step a wave ends at the same time."""

    @pytest.mark.parametrize(("missing", "orders"), [(0, 1), (1, 0)])
    def test_missing_tasks_count_against_the_allowance(self, missing, orders):
        views = [make_view(0, lasting=1)]
        result = plan_wave(views, make_instances(1), missing={STEP: missing})
        assert len(result.orders) == orders

    def test_two_instances_do_not_end_tasks_of_one_step_together(self):
        views = [make_view(n, lasting=1) for n in range(2)]
        assert len(plan_wave(views, make_instances(2), 2).orders) == 1

    def test_tasks_over_the_allowance_are_evicted_one_by_one(self):
        result = plan_wave([make_view(0, lasting=2)], make_instances(1))
        assert result.orders == []
        assert len(result.evictions) == 1

    def test_unreachable_upstream_is_not_maintained(self):
        result = plan_wave([make_view(0, is_reachable=False)], make_instances(1))
        assert result.orders == []

    def test_starting_tasks_are_waited_for(self):
        views = [make_view(0, starting=2)]
        result = plan_wave(views, make_instances(1), missing={STEP: 2})
        assert result.orders == []
        assert result.cordoned_upstreams == {"u0"}

    def test_all_tasks_of_a_step_without_an_allowance_may_end(self):
        views = [make_view(0, lasting=2, allowance=0)]
        assert len(plan_wave(views, make_instances(1)).orders) == 1


class TestCompletion:
    """Test when a wave counts as complete."""

    def test_wave_is_complete_when_all_instances_have_begun(self):
        result = plan_wave([], make_instances(2), begun=["m0", "m1"])
        assert result.completed_waves == [1]

    def test_instances_that_left_the_list_are_not_waited_for(self):
        instances = make_instances(2)
        wave = Wave(1, ("m0", "m1", "m9"), 60.0, 1)
        progress = {1: WaveProgress(["m0", "m1"], DUE_MS)}
        view = StubFleetView([])
        result = plan_maintenance(
            [wave], progress, instances, view, 0, lambda *_: False
        )
        assert result.completed_waves == [1]

    def test_wave_with_an_instance_left_is_not_complete(self):
        result = plan_wave([make_view(1, short=1)], make_instances(2), begun=["m0"])
        assert result.completed_waves == []
