"""Test that a pool whose upstreams crash does not draw the whole fleet into it.

Instances that are down were replaced at once, with those of other pools, whose jobs
then waited.
"""

from baobablane.deployment import Instance, InstanceState, Resources
from baobablane.scheduling import PoolDemand
from baobablane.sizing import PoolSizing, PoolTarget, plan_moves

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


class TestTrials:
    """Test the cores that a pool gets for trials of suspects."""

    def test_trials_use_only_what_no_other_pool_needs(self):
        targets = []
        for trial_cores in (0.0, 32.0):
            sizing = PoolSizing()
            demand = PoolDemand(64.0, 0.0, 0.0, 0.0, trial_cores=trial_cores)
            sizing.observe({"a": demand}, 32.0, 1.0)
            targets.append(sizing.target("a", demand, 1.0))
        without, with_trials = targets
        assert with_trials.wanted_cores == without.wanted_cores + 32.0
        assert with_trials.needed_cores == without.needed_cores


class TestUnstablePools:
    """Test instances that are down."""

    def test_instances_down_in_an_unstable_pool_are_not_replaced(self):
        assert count_moves({"a"}) == 0

    def test_instances_down_in_another_pool_are_replaced(self):
        assert count_moves(set()) == 6
