"""Compute what each entry instance may start on a pool, for each team."""

from collections import defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from ._demand import DemandLine
from ._max_min import weighted_max_min


@dataclass(frozen=True, slots=True)
class PoolShares:
    """Hold one pool's allocation over teams, and this instance's part of it."""

    capacity: float
    by_team: Mapping[str, float] = field(default_factory=dict)
    own_by_team: Mapping[str, float] = field(default_factory=dict)
    own_budget: float = 0.0


def compute_pool_shares(
    capacity: float,
    own: Iterable[DemandLine],
    others: Iterable[DemandLine],
    weights: Mapping[str, float],
    limits: Mapping[str, int],
    entry_instances: int,
) -> PoolShares:
    """Return the weighted max-min shares of a pool's slots."""
    own_demand: dict[str, int] = defaultdict(int)
    total_demand: dict[str, int] = defaultdict(int)
    for line in own:
        own_demand[line.team] += line.demand
        total_demand[line.team] += line.demand
    for line in others:
        total_demand[line.team] += line.demand
    demands = {
        team: float(min(demand, limits.get(team, demand)))
        for team, demand in total_demand.items()
        if demand > 0
    }
    by_team = weighted_max_min(capacity, demands, weights)
    own_by_team = {
        team: share * own_demand[team] / total_demand[team]
        for team, share in by_team.items()
        if own_demand[team] > 0
    }
    # What no team asks for now is left to whoever is asked next.
    idle = max(0.0, capacity - sum(by_team.values()))
    budget = sum(own_by_team.values()) + idle / max(1, entry_instances)
    return PoolShares(capacity, by_team, own_by_team, budget)
