"""Test how many cores pools get while their queues take turns."""

import pytest

from baobablane.deployment import Instance, InstanceState, Resources
from baobablane.scheduling import PoolDemand
from baobablane.sizing import (
    PoolSizing,
    TurnForecast,
    decode_rises,
    encode_rises,
    plan_moves,
)

EVEN_CORES = 192.0
STEP_SECONDS = 0.25
TURN_SECONDS = 4.5
POOLS = ("a", "b", "c", "d")


def make_demand(arrived=0.0, due=0.0, lasting=10.0, cores=EVEN_CORES):
    """Return a pool's demand."""
    return PoolDemand(cores, lasting, due, arrived)


def play_turns(sizing, turns, peak=170.0):
    """Let pools take turns; return the wanted cores by time and pool."""
    arrived = dict.fromkeys(POOLS, 0.0)
    wanted = []
    now = 0.0
    while now < turns * TURN_SECONDS:
        busy = POOLS[int(now / TURN_SECONDS) % len(POOLS)]
        for pool in POOLS:
            rate = peak if pool == busy else peak / 20
            arrived[pool] += rate * STEP_SECONDS
        demands = {pool: make_demand(arrived[pool]) for pool in POOLS}
        sizing.observe(demands, EVEN_CORES, now)
        cores = {p: sizing.wanted_cores(p, demands[p], now) for p in POOLS}
        wanted.append((now, busy, cores))
        now += STEP_SECONDS
    return wanted


class TestTurns:
    """Test turns of five times the mean, and a twentieth of it in between."""

    def test_pool_in_its_turn_gets_the_cores_for_what_arrives(self):
        wanted = play_turns(PoolSizing(), 4)
        late_in_turn = [row for row in wanted if row[0] % TURN_SECONDS > 2.5]
        assert all(cores[busy] >= EVEN_CORES for _, busy, cores in late_in_turn)

    def test_pool_gives_cores_back_after_its_turn(self):
        wanted = play_turns(PoolSizing(), 4)
        # Two turns later, and well before its next one is prepared for.
        cores = [row[2]["a"] for row in wanted if 10.0 <= row[0] < 13.0]
        assert max(cores) < EVEN_CORES / 2

    def test_pool_keeps_its_even_part_until_its_first_turn(self):
        wanted = play_turns(PoolSizing(), 3)
        assert all(cores["d"] >= EVEN_CORES for _, _, cores in wanted)

    def test_turn_is_prepared_for_once_the_order_is_known(self):
        wanted = play_turns(PoolSizing(), 5)
        before_second_turn = [
            cores["a"]
            for now, _, cores in wanted
            if 4 * TURN_SECONDS - 1.5 <= now < 4 * TURN_SECONDS
        ]
        assert min(before_second_turn) > 150.0

    def test_pool_that_an_owner_finds_small_gets_its_even_part(self):
        sizing = PoolSizing()
        demand = make_demand(cores=64.0)
        sizing.observe({"a": demand}, EVEN_CORES, 0.0)
        assert sizing.wanted_cores("a", demand, 0.0) >= EVEN_CORES

    def test_work_that_is_due_is_given_cores_however_it_came(self):
        sizing = PoolSizing()
        play_turns(sizing, 4)
        demand = make_demand(arrived=1e4, due=300.0)
        assert sizing.wanted_cores("a", demand, 60.0) > 300.0


class TestTakeOver:
    """Test an owner that goes on from what another has recorded."""

    def test_turns_that_have_passed_are_not_waited_for_again(self):
        before = PoolSizing()
        play_turns(before, 3)
        recorded = decode_rises(encode_rises(before.forecast.rises()))
        after = PoolSizing()
        after.forecast.restore(recorded)
        demands = {pool: make_demand() for pool in POOLS}
        after.observe(demands, EVEN_CORES, 14.0)
        assert after.wanted_cores("a", demands["a"], 14.0) < EVEN_CORES / 2
        assert after.wanted_cores("d", demands["d"], 14.0) >= EVEN_CORES


class TestForecast:
    """Test which pool's demand is expected to rise."""

    def test_one_turn_counts_as_one_rise(self):
        forecast = TurnForecast()
        for at in (0.0, 1.0, 2.0):
            forecast.rose("a", at)
        assert forecast.next_rise() is None

    def test_next_rise_follows_after_the_usual_gap(self):
        forecast = TurnForecast()
        for at, pool in ((0.0, "a"), (4.0, "b"), (9.0, "c"), (13.0, "d")):
            forecast.rose(pool, at)
        assert forecast.next_rise() == pytest.approx(17.0)
        assert forecast.next_pools(set(POOLS)) == {"a"}

    def test_pools_that_never_rose_are_next(self):
        forecast = TurnForecast()
        forecast.rose("a", 0.0)
        forecast.rose("b", 4.0)
        assert forecast.next_pools(set(POOLS)) == {"c", "d"}


def make_instance(number, pool, state=InstanceState.UP, upstream=None):
    """Return an instance of 32 cores."""
    upstream = f"u{number}" if upstream is None else upstream
    size = Resources(32_000, 64_000, 0)
    return Instance(f"m{number}", pool, state, "zone", frozenset(), size, upstream)


class TestMoves:
    """Test which instances are moved."""

    def plan(self, wanted, instances, empty=(), busy=(), closed=()):
        """Plan moves with the standby pool `spare`."""
        return plan_moves(wanted, instances, set(empty), "spare", busy, closed)

    def test_standby_instances_come_first(self):
        instances = [make_instance(n, "a") for n in range(4)]
        instances.append(make_instance(9, "spare", upstream=""))
        (order,) = self.plan({"a": 160.0}, instances)
        assert (order.instance, order.pool, order.upstream) == ("m9", "a", "")

    def test_idle_instance_of_another_pool_goes_straight_there(self):
        instances = [make_instance(n, "a") for n in range(3)]
        instances += [make_instance(n, "b") for n in range(3, 6)]
        (order,) = self.plan({"a": 32.0, "b": 128.0}, instances, ["u0"])
        assert (order.instance, order.pool, order.upstream) == ("m0", "b", "u0")

    def test_instance_that_runs_something_stays(self):
        instances = [make_instance(n, "a") for n in range(6)]
        assert self.plan({"a": 64.0}, instances) == []

    def test_pool_keeps_two_instances(self):
        instances = [make_instance(n, "a") for n in range(3)]
        orders = self.plan({"a": 0.0}, instances, ["u0", "u1", "u2"])
        assert [order.pool for order in orders] == ["spare"]

    def test_instance_on_its_way_counts(self):
        instances = [make_instance(0, "a")]
        instances.append(make_instance(1, "a", InstanceState.MOVING, ""))
        instances.append(make_instance(2, "spare", upstream=""))
        assert self.plan({"a": 64.0}, instances) == []

    def test_instance_under_another_order_stays(self):
        instances = [make_instance(9, "spare", upstream="")]
        assert self.plan({"a": 64.0}, instances, busy=["m9"]) == []

    def test_closed_instance_is_made_up_for(self):
        instances = [make_instance(n, "a") for n in range(2)]
        instances.append(make_instance(9, "spare", upstream=""))
        (order,) = self.plan({"a": 64.0}, instances, closed=["u0"])
        assert order.instance == "m9"
