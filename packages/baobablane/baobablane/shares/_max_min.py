"""Divide a capacity by weighted max-min fairness."""

from collections.abc import Mapping

# Tuple of the quotient of demand and weight, the name, the demand, and the weight.
WeightedDemand = tuple[float, str, float, float]


def weighted_max_min(
    capacity: float, demands: Mapping[str, float], weights: Mapping[str, float]
) -> dict[str, float]:
    """Return weighted max-min fair allocations by name.

    No allocation can be raised without lowering one that is smaller for its weight.
    Raise ValueError if a demand is negative or a weight is not positive.
    """
    for name, demand in demands.items():
        if demand < 0 or weights[name] <= 0:
            raise ValueError(
                f"negative demand {demand} or "
                f"non-positive weight {weights[name]} of {name}"
            )
    weighted_demands = [
        (demand / weights[name], name, demand, weights[name])
        for name, demand in demands.items()
    ]
    return water_fill(capacity, weighted_demands)


def water_fill(
    capacity: float, weighted_demands: list[WeightedDemand]
) -> dict[str, float]:
    """Return max-min fair allocations by name, by the water-filling algorithm.

    Sort `weighted_demands` in place.
    """
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
