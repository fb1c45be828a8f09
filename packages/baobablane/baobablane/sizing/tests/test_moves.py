"""Test which instances are moved between pools."""

from baobablane.deployment import Instance, InstanceState, Resources
from baobablane.sizing import PoolTarget, plan_moves


def make_instance(number, pool, state=InstanceState.UP, upstream=None):
    """Return an instance of 32 cores."""
    upstream = f"u{number}" if upstream is None else upstream
    size = Resources(32_000, 64_000, 0)
    return Instance(f"m{number}", pool, state, "zone", frozenset(), size, upstream)


class TestMoves:
    """Test which instances are moved to which pool."""

    def plan(self, wanted, instances, empty=(), under_order=(), cordoned=()):
        """Plan moves with the standby pool `spare`."""
        targets = {
            pool: cores if isinstance(cores, PoolTarget) else PoolTarget(cores, cores)
            for pool, cores in wanted.items()
        }
        return plan_moves(
            targets, instances, set(empty), "spare", under_order, cordoned
        )

    def test_standby_instance_is_moved_first(self):
        instances = [make_instance(n, "a") for n in range(4)]
        instances.append(make_instance(9, "spare", upstream=""))
        (order,) = self.plan({"a": 160.0}, instances)
        assert (order.instance, order.pool, order.upstream) == ("m9", "a", "")

    def test_idle_instance_is_moved_directly_to_a_pool_that_is_short(self):
        instances = [make_instance(n, "a") for n in range(3)]
        instances += [make_instance(n, "b") for n in range(3, 6)]
        (order,) = self.plan({"a": 32.0, "b": 128.0}, instances, ["u0"])
        assert (order.instance, order.pool, order.upstream) == ("m0", "b", "u0")

    def test_busy_instance_is_not_moved(self):
        instances = [make_instance(n, "a") for n in range(6)]
        assert self.plan({"a": 64.0}, instances) == []

    def test_pool_keeps_at_least_two_instances(self):
        instances = [make_instance(n, "a") for n in range(3)]
        orders = self.plan({"a": 0.0}, instances, ["u0", "u1", "u2"])
        assert [order.pool for order in orders] == ["spare"]

    def test_moving_instance_counts_for_its_new_pool(self):
        instances = [make_instance(0, "a")]
        instances.append(make_instance(1, "a", InstanceState.MOVING, ""))
        instances.append(make_instance(2, "spare", upstream=""))
        assert self.plan({"a": 64.0}, instances) == []

    def test_instance_under_another_order_is_not_moved(self):
        instances = [make_instance(9, "spare", upstream="")]
        assert self.plan({"a": 64.0}, instances, under_order=["m9"]) == []

    def test_cordoned_instance_is_replaced(self):
        instances = [make_instance(n, "a") for n in range(2)]
        instances.append(make_instance(9, "spare", upstream=""))
        (order,) = self.plan({"a": 64.0}, instances, cordoned=["u0"])
        assert order.instance == "m9"

    def test_reserve_for_a_first_burst_is_lent(self):
        instances = [make_instance(n, "a") for n in range(6)]
        instances += [make_instance(n, "b") for n in range(6, 8)]
        wanted = {"a": PoolTarget(192.0, 96.0), "b": PoolTarget(160.0, 160.0)}
        orders = self.plan(wanted, instances, [f"u{n}" for n in range(6)])
        assert [order.pool for order in orders] == ["b", "b", "b"]
        assert {order.upstream for order in orders} <= {f"u{n}" for n in range(6)}

    def test_standby_instances_are_used_before_lent_ones(self):
        instances = [make_instance(n, "a") for n in range(6)]
        instances += [make_instance(n, "b") for n in range(6, 8)]
        instances += [make_instance(n, "spare", upstream="") for n in range(8, 10)]
        wanted = {"a": PoolTarget(192.0, 96.0), "b": PoolTarget(160.0, 160.0)}
        orders = self.plan(wanted, instances, [f"u{n}" for n in range(6)])
        assert [order.pool for order in orders] == ["b", "b", "b"]
        assert [order.upstream for order in orders].count("") == 2

    def test_no_cores_are_lent_for_the_reserve_of_another_pool(self):
        instances = [make_instance(n, "a") for n in range(6)]
        instances += [make_instance(n, "b") for n in range(6, 8)]
        wanted = {"a": PoolTarget(192.0, 96.0), "b": PoolTarget(160.0, 64.0)}
        assert self.plan(wanted, instances, [f"u{n}" for n in range(6)]) == []
