"""Hold how many cores a pool should have."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class PoolTarget:
    """Hold the cores that a pool should have, and those that others may not borrow."""

    wanted_cores: float
    # For the work that has arrived; the rest is held for work that may come.
    needed_cores: float
