"""Divide a pool among accounts, and tell which of them exceed their parts."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from ._max_min import weighted_max_min


@dataclass(frozen=True, slots=True)
class PoolDivision:
    """Hold each account's part of a pool; a pool that is not full has no parts."""

    cores_by_account: Mapping[str, float] = field(default_factory=dict)
    weights: Mapping[str, float] = field(default_factory=dict)
    demands: Mapping[str, float] = field(default_factory=dict)

    def excess(self, account: str, running_cores: float) -> float:
        """Return the cores per weight that an account has beyond its part."""
        part = self.cores_by_account.get(account)
        if part is None:
            return 0.0
        return max(0.0, running_cores - part) / self.weights[account]

    def has_unmet_demand(self, account: str) -> bool:
        """Return whether an account runs and waits for more than its part."""
        part = self.cores_by_account.get(account)
        return part is not None and self.demands[account] > part


def divide_pool(
    capacity: float, demands: Mapping[str, float], weights: Mapping[str, float]
) -> PoolDivision:
    """Return the weighted max-min fair parts, or none if all demands fit."""
    if sum(demands.values()) <= capacity:
        return PoolDivision()
    parts = weighted_max_min(capacity, demands, weights)
    return PoolDivision(parts, weights, demands)
