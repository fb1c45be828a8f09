"""Test how a pool is divided among teams and entry instances."""

import pytest
from baobablane.shares import (
    BURST_ALLOWANCE_SECONDS,
    ArrivalMeter,
    DemandLine,
    DemandTable,
    FairClock,
    compute_pool_shares,
    divide_pool,
    weighted_max_min,
)
from hypothesis import given
from hypothesis import strategies as st

teams = st.dictionaries(
    st.sampled_from("abcdef"), st.tuples(st.integers(0, 100), st.integers(1, 9))
)


class TestMaxMin:
    """Test that allocations are max-min fair and that invalid weights are rejected."""

    @given(st.floats(0, 200), teams)
    def test_allocation_is_fair(self, capacity, demands_and_weights):
        demands = {
            name: float(demand) for name, (demand, _) in demands_and_weights.items()
        }
        weights = {
            name: float(weight) for name, (_, weight) in demands_and_weights.items()
        }
        allocations = weighted_max_min(capacity, demands, weights)
        assert sum(allocations.values()) <= capacity + 1e-6
        levels = {name: allocations[name] / weights[name] for name in allocations}
        for name, allocation in allocations.items():
            assert allocation <= demands[name] + 1e-9
            if allocation < demands[name] - 1e-6:
                assert levels[name] >= max(levels.values()) - 1e-6
                assert sum(allocations.values()) >= capacity - 1e-6

    def test_zero_weight_is_rejected(self):
        with pytest.raises(ValueError, match="weight 0 of a"):
            weighted_max_min(1.0, {"a": 1.0}, {"a": 0})


class TestPoolShares:
    """Test that the parts of all entry instances add up to the pool."""

    @given(
        st.integers(1, 100),
        st.lists(
            st.dictionaries(st.sampled_from("abc"), st.integers(0, 30)),
            min_size=1,
            max_size=5,
        ),
    )
    def test_parts_of_all_instances_add_up_to_the_pool(
        self, capacity, demand_by_instance
    ):
        parts = []
        for index, own in enumerate(demand_by_instance):
            table = DemandTable(f"e{index}")
            for other, demand in enumerate(demand_by_instance):
                if other != index:
                    lines = [DemandLine("p", t, n, 0, 0.0) for t, n in demand.items()]
                    table.report(f"e{other}", lines, 0.0)
            parts.append(
                compute_pool_shares(
                    capacity,
                    own,
                    table.by_team("p"),
                    table.preceding_by_team("p"),
                    dict.fromkeys("abc", 1.0),
                    {},
                    len(demand_by_instance),
                )
            )
        assert sum(part.own_budget for part in parts) == pytest.approx(capacity)
        for team in "abc":
            total = sum(part.own_slots.get(team, 0) for part in parts)
            assert total == int(parts[0].by_team.get(team, 0))


class TestDemandTable:
    """Test that replaced and expired reports no longer count."""

    def test_new_report_replaces_the_previous_one(self):
        table = DemandTable("b")
        table.report("a", [DemandLine("p", "t", 3, 1, 0.0)], 0.0)
        table.report("a", [DemandLine("p", "t", 1, 1, 0.0)], 1.0)
        assert table.by_team("p") == {"t": 2}
        assert table.preceding_by_team("p") == {"t": 2}
        table.expire(2.0)
        assert table.by_team("p") == {}


class TestFairClock:
    """Test that idle teams gain no credit and that weights slow virtual time."""

    def test_idle_team_gains_no_credit(self):
        clock = FairClock()
        clock.charge("busy", 100.0, 1.0)
        clock.activate("idle", ["busy"])
        clock.charge("idle", 1.0, 1.0)
        assert clock.next_team(["busy", "idle"]) == "busy"

    def test_higher_weight_advances_virtual_time_less(self):
        clock = FairClock()
        clock.charge("heavy", 4.0, 4.0)
        clock.charge("light", 2.0, 1.0)
        assert clock.next_team(["heavy", "light"]) == "heavy"


class TestArrivalMeter:
    """Test which arrivals of an account are within its rate."""

    def test_flood_keeps_the_entitled_rate(self):
        """Guards against a flood that loses its account all entitlement."""
        meter = ArrivalMeter()
        within = sum(meter.is_within_rate("a", 5.0, n / 100) for n in range(1000))
        assert 50 <= within <= 5.0 * (10 + BURST_ALLOWANCE_SECONDS) + 1

    def test_rare_clusters_are_entitled(self):
        """Guards against accounts of low weight that are punished for chance."""
        meter = ArrivalMeter()
        assert all(meter.is_within_rate("a", 0.1, 0.0) for _ in range(4))
        assert not meter.is_within_rate("a", 0.1, 0.0)


class TestPoolDivision:
    """Test the parts of entitled and other work in one pool."""

    def test_pool_that_is_not_full_gives_no_standing(self):
        """Guards against another order of jobs under ordinary loads."""
        division = divide_pool(10.0, {"a": 6.0}, {"b": 4.0}, {"a": 1.0, "b": 1.0})
        assert not division.is_full()
        assert division.standing("b", 4.0) == 0.0

    def test_entitled_work_is_divided_as_if_there_were_no_other(self):
        """Guards against a flood that takes a part before entitled work."""
        weights = {"a": 1.0, "b": 2.0}
        division = divide_pool(9.0, {"a": 9.0, "b": 9.0}, {"b": 90.0}, weights)
        assert division.entitled_standing("a", 4.0) == pytest.approx(1.0)
        assert division.entitled_standing("b", 6.0) == 0.0
        assert division.standing("b", 2.0) == pytest.approx(1.0)

    def test_excess_work_gets_what_entitled_work_leaves(self):
        """Guards against idle cores while only excess work waits."""
        weights = {"a": 1.0, "b": 1.0}
        division = divide_pool(10.0, {"a": 4.0}, {"a": 5.0, "b": 5.0}, weights)
        assert division.standing("b", 3.0) == 0.0
        assert division.standing("b", 4.0) == pytest.approx(1.0)
        assert division.has_unmet_demand("b")
