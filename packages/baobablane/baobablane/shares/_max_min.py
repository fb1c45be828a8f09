"""Divide a capacity by weighted max-min fairness."""

from collections.abc import Mapping

# The level at which a claim is satisfied, its name, its demand and its weight.
Claim = tuple[float, str, float, float]


def weighted_max_min(
    capacity: float, demands: Mapping[str, float], weights: Mapping[str, float]
) -> dict[str, float]:
    """Return allocations that no one can raise without lowering a poorer one."""
    for name, demand in demands.items():
        if demand < 0 or weights[name] <= 0:
            raise ValueError(f"demand {demand} or weight {weights[name]} of {name}")
    claims = [
        (demand / weights[name], name, demand, weights[name])
        for name, demand in demands.items()
    ]
    return fill_claims(capacity, claims)


def fill_claims(capacity: float, claims: list[Claim]) -> dict[str, float]:
    """Return max-min allocations for claims of (level, name, demand, weight)."""
    claims.sort()
    weight_left = 0.0
    for claim in claims:
        weight_left += claim[3]
    left = max(0.0, capacity)
    allocations: dict[str, float] = {}
    for level_wanted, name, demand, weight in claims:
        granted = demand
        if level_wanted * weight_left > left:
            granted = left * weight / weight_left
        allocations[name] = granted
        left -= granted
        weight_left -= weight
    return allocations
