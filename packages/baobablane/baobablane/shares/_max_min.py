"""Divide a capacity by weighted max-min fairness."""

from collections.abc import Mapping

# The level at which a claim is satisfied, its name, its demand and its weight.
WeightedDemand = tuple[float, str, float, float]


def weighted_max_min(
    capacity: float, demands: Mapping[str, float], weights: Mapping[str, float]
) -> dict[str, float]:
    """Return allocations that no one can raise without lowering a poorer one."""
    for name, demand in demands.items():
        if demand < 0 or weights[name] <= 0:
            raise ValueError(f"demand {demand} or weight {weights[name]} of {name}")
    weighted_demands = [
        (demand / weights[name], name, demand, weights[name])
        for name, demand in demands.items()
    ]
    return water_fill(capacity, weighted_demands)


def water_fill(
    capacity: float, weighted_demands: list[WeightedDemand]
) -> dict[str, float]:
    """Return max-min allocations for claims of (level, name, demand, weight)."""
    weighted_demands.sort()
    remaining_weight = 0.0
    for weighted_demand in weighted_demands:
        remaining_weight += weighted_demand[3]
    remaining = max(0.0, capacity)
    allocations: dict[str, float] = {}
    for level, name, demand, weight in weighted_demands:
        granted = demand
        if level * remaining_weight > remaining:
            granted = remaining * weight / remaining_weight
        allocations[name] = granted
        remaining -= granted
        remaining_weight -= weight
    return allocations
