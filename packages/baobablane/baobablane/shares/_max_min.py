"""Divide a capacity by weighted max-min fairness."""

from collections.abc import Mapping


def weighted_max_min(
    capacity: float, demands: Mapping[str, float], weights: Mapping[str, float]
) -> dict[str, float]:
    """Return allocations that no one can raise without lowering a poorer one."""
    for name, demand in demands.items():
        if demand < 0 or weights[name] <= 0:
            raise ValueError(f"demand {demand} or weight {weights[name]} of {name}")
    rising = sorted(demands, key=lambda name: (demands[name] / weights[name], name))
    weight_left = sum(weights[name] for name in rising)
    left = max(0.0, capacity)
    allocations: dict[str, float] = {}
    for name in rising:
        level = left / weight_left if weight_left > 0 else 0.0
        granted = min(demands[name], level * weights[name])
        allocations[name] = granted
        left -= granted
        weight_left -= weights[name]
    return allocations
