"""Define an instance as the platform lists it."""

from dataclasses import dataclass
from enum import StrEnum

from ._resources import Resources


class InstanceState(StrEnum):
    """Name the state of an instance."""

    UP = "up"
    MOVING = "moving"
    MAINTENANCE = "upkeep"
    DOWN = "down"
    # A state that is none of these, or can not be read; nothing is concluded from it.
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class Instance:
    """Describe an instance: its pool, state, capacity and upstream."""

    id: str
    pool: str
    state: InstanceState
    zone: str
    labels: frozenset[str]
    capacity: Resources
    # ID of the upstream that runs on it; empty while there is none.
    upstream: str
