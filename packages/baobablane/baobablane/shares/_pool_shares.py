"""Compute how much of a pool each entry instance may use for each team."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from ._max_min import WeightedDemand, water_fill


@dataclass(frozen=True, slots=True)
class PoolShares:
    """Store the division of a pool among teams, and this instance's part of it."""

    # Slots of the pool.
    capacity: float
    # Slots of each team, for all instances and for this one.
    by_team: Mapping[str, float] = field(default_factory=dict)
    own_by_team: Mapping[str, float] = field(default_factory=dict)
    # This instance's part of each team's share, in whole slots.
    own_slots: Mapping[str, int] = field(default_factory=dict)
    # Slots that this instance may use for all teams together.
    own_budget: float = 0.0


def compute_pool_shares(
    capacity: float,
    own_demand: Mapping[str, int],
    other_demand: Mapping[str, int],
    preceding_demand: Mapping[str, int],
    weights: Mapping[str, float],
    limits: Mapping[str, int],
    entry_instances: int,
) -> PoolShares:
    """Return the weighted max-min fair shares of a pool's slots.

    Demands are slots by team: of this instance, of all others, and of those others
    whose names sort before this one. A team's demand counts up to its limit.
    Raise KeyError if a team in a demand has no weight.
    """
    total_demand = dict(other_demand)
    for team, demand in own_demand.items():
        total_demand[team] = total_demand.get(team, 0) + demand
    weighted_demands: list[WeightedDemand] = []
    for team, demand in total_demand.items():
        wanted = min(demand, limits.get(team, demand))
        weight = weights[team]
        weighted_demands.append((wanted / weight, team, wanted, weight))
    by_team = water_fill(capacity, weighted_demands)
    own_by_team = {
        team: by_team[team] * demand / total_demand[team]
        for team, demand in own_demand.items()
        if demand > 0
    }
    own_slots = {
        team: _split_slots(
            int(by_team[team]),
            preceding_demand.get(team, 0),
            demand,
            total_demand[team],
        )
        for team, demand in own_demand.items()
        if demand > 0
    }
    # Rounding the teams' shares down leaves some slots. They are divided among
    # instances in proportion to the demand of all teams.
    remainder = round(
        sum(by_team.values()) - sum(int(share) for share in by_team.values())
    )
    own_remainder = _split_slots(
        remainder,
        sum(preceding_demand.values()),
        sum(own_demand.values()),
        max(1, sum(total_demand.values())),
    )
    # Slots without demand are divided equally, for the next requests.
    unclaimed = max(0.0, capacity - sum(by_team.values()))
    budget = (
        sum(own_slots.values()) + own_remainder + unclaimed / max(1, entry_instances)
    )
    return PoolShares(capacity, by_team, own_by_team, own_slots, budget)


def _split_slots(slots: int, preceding: int, own: int, total: int) -> int:
    # Rounding cumulative totals makes the parts of all instances add up exactly.
    end = min(preceding + own, total)
    return slots * end // total - slots * min(preceding, total) // total
