"""Test that a pool whose upstreams crash does not draw the whole fleet into it.

Instances that are down were replaced at once, with those of other pools, whose jobs
then waited.
"""

from baobablane.deployment import Instance, InstanceState, Resources
from baobablane.sizing import PoolTarget, plan_moves

UP, DOWN = InstanceState.UP, InstanceState.DOWN


def make_instances(pool, state, count):
    """Return instances of ten cores each."""
    return [
        Instance(
            f"{pool}-{state}-{number}",
            pool,
            state,
            "zone",
            frozenset(),
            Resources(10_000, 1, 0),
            f"u-{pool}-{number}" if state is UP else "",
        )
        for number in range(count)
    ]


def count_moves(unstable_pools):
    """Return how many instances move to a pool of which six instances are down."""
    instances = make_instances("a", DOWN, 6) + make_instances("a", UP, 2)
    instances += make_instances("standby", UP, 8)
    targets = {"a": PoolTarget(80.0, 80.0)}
    moves = plan_moves(targets, instances, (), "standby", (), (), unstable_pools)
    return len(moves)


class TestUnstablePools:
    """Test instances that are down."""

    def test_instances_down_in_an_unstable_pool_are_not_replaced(self):
        assert count_moves({"a"}) == 0

    def test_instances_down_in_another_pool_are_replaced(self):
        assert count_moves(set()) == 6
