"""Test how fillers are throttled next to serving tasks."""

from baobablane.deployment import NO_RESOURCES, Resources, UpstreamEntry
from baobablane.jobs import TaskId
from baobablane.scheduling._pacing import plan_pace_orders
from baobablane.scheduling._upstream import Run, Upstream

SERVING = TaskId("1" * 16, 0, 0, 0)
FILLER = TaskId("2" * 16, 0, 0, 0)
TARGET_MS = 100


def make_upstream(tail_ms, pace_percent=100):
    """Return an upstream with a serving task and a filler."""
    entry = UpstreamEntry("u", "p", "a:1", "z", 1, Resources(), frozenset(), False)
    upstream = Upstream(entry, 0.0)
    serving = Run(SERVING, 1, NO_RESOURCES, "", True, False, 0.0)
    serving.target_ms, serving.tail_ms_or_cpu_millis, serving.percent = (
        TARGET_MS,
        tail_ms,
        100,
    )
    filler = Run(FILLER, 1, NO_RESOURCES, "", True, True, 0.0)
    filler.pace_percent = pace_percent
    upstream.add(serving)
    upstream.add(filler)
    return upstream


class TestPace:
    """Test tail latencies above, close to and below the target."""

    def test_filler_is_paused_above_the_target(self):
        (order,) = plan_pace_orders(make_upstream(101), 10.0)
        assert (order.task, order.percent) == (FILLER, 0)

    def test_pace_is_halved_close_to_the_target(self):
        (order,) = plan_pace_orders(make_upstream(90), 10.0)
        assert order.percent == 50

    def test_pace_is_restored_slowly(self):
        upstream = make_upstream(30, pace_percent=0)
        assert [order.percent for order in plan_pace_orders(upstream, 10.0)] == [10]
        assert plan_pace_orders(upstream, 10.5) == []
        assert [order.percent for order in plan_pace_orders(upstream, 11.0)] == [20]

    def test_pace_is_unchanged_between_the_thresholds(self):
        assert plan_pace_orders(make_upstream(70, pace_percent=40), 10.0) == []

    def test_filler_alone_works_at_full_pace(self):
        upstream = make_upstream(30)
        upstream.remove(SERVING)
        assert plan_pace_orders(upstream, 10.0) == []
