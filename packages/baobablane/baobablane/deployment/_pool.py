"""Define a pool."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Pool:
    """Describe a pool of instances."""

    name: str
    # Instances of a standby pool are switched off until they are moved to another pool.
    is_standby: bool = False
