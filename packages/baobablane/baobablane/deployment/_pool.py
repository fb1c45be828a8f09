"""Describe a pool."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Pool:
    """Hold a pool's name and kind."""

    name: str
    # A standby pool's instances are switched off until they are moved to another.
    is_standby: bool = False
