"""Test nearness to shares in virtual time against the stated targets."""

from collections import defaultdict
from functools import cache
from statistics import mean

from bench.fairness import (
    BURST_TARGET,
    STEADY_TARGET,
    URGENT_TARGET_SECONDS,
    FairnessRun,
    bursts,
    steady,
)

SEED = 1
LOADS = {"steady": steady, "bursts": bursts}


def half_load(team: str, now: float) -> float:
    """Return requests per second that leave the pool half empty."""
    return steady(team, now) / 4


@cache
def run(load: str, mode: str = "exchange"):
    """Return the result of a run."""
    return FairnessRun(mode, {**LOADS, "half": half_load}[load], SEED).run()


class TestShares:
    """Test received over entitled service while the pool is full."""

    def test_worst_second_in_steady_load(self):
        assert run("steady").worst() >= STEADY_TARGET

    def test_worst_second_in_bursts(self):
        assert run("bursts").worst() >= BURST_TARGET

    def test_mean_second_in_steady_load(self):
        assert mean(run("steady").ratios) >= STEADY_TARGET

    def test_every_team_in_steady_load(self):
        received = defaultdict(list)
        for index, ratio in enumerate(run("steady").ratios):
            received[index % 6].append(ratio)
        assert min(mean(ratios) for ratios in received.values()) >= STEADY_TARGET

    def test_shortfall_in_bursts_is_below_both_baselines(self):
        ours = run("bursts").shortfall
        assert ours < run("bursts", "local").shortfall
        assert ours < run("bursts", "fifo").shortfall

    def test_work_starts_at_once_while_there_is_room(self):
        assert run("half").wait_quantile(0.99) <= URGENT_TARGET_SECONDS
