"""Define the number of cores that a pool should have."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class PoolTarget:
    """Hold the cores that a pool should have and those that it can't lend."""

    wanted_cores: float
    # Cores that the pool can't lend to others; fewer than the wanted cores only while
    # the pool holds a reserve for its first burst.
    needed_cores: float
