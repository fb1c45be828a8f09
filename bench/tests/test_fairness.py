"""Test that simulated teams receive their shares within the stated targets."""

from collections import defaultdict
from functools import cache
from statistics import mean

from bench.fairness import (
    BURST_TARGET_RATIO,
    STEADY_TARGET_RATIO,
    URGENT_TARGET_SECONDS,
    FairnessSimulation,
    burst_rate,
    steady_rate,
)

SEED = 1
ARRIVAL_RATES = {"steady": steady_rate, "bursts": burst_rate}


def half_rate(team: str, now: float) -> float:
    """Return an arrival rate per second that leaves half of the pool's slots free."""
    return steady_rate(team, now) / 4


@cache
def simulate(rate_name: str, mode: str = "exchange"):
    """Return the result of a simulation, computed once for all tests."""
    return FairnessSimulation(
        mode, {**ARRIVAL_RATES, "half": half_rate}[rate_name], SEED
    ).run()


class TestShares:
    """Test the ratios of received to entitled service, the shortfall and the waits."""

    def test_worst_second_in_steady_load(self):
        assert simulate("steady").worst_ratio() >= STEADY_TARGET_RATIO

    def test_worst_second_in_bursts(self):
        assert simulate("bursts").worst_ratio() >= BURST_TARGET_RATIO

    def test_mean_ratio_in_steady_load(self):
        assert mean(simulate("steady").ratios) >= STEADY_TARGET_RATIO

    def test_mean_ratio_of_every_team_in_steady_load(self):
        received = defaultdict(list)
        for index, ratio in enumerate(simulate("steady").ratios):
            received[index % 6].append(ratio)
        assert min(mean(ratios) for ratios in received.values()) >= STEADY_TARGET_RATIO

    def test_shortfall_in_bursts_is_below_both_baselines(self):
        shortfall_with_exchange = simulate("bursts").shortfall
        assert shortfall_with_exchange < simulate("bursts", "local").shortfall
        assert shortfall_with_exchange < simulate("bursts", "fifo").shortfall

    def test_requests_start_promptly_while_slots_are_free(self):
        assert simulate("half").wait_quantile(0.99) <= URGENT_TARGET_SECONDS
