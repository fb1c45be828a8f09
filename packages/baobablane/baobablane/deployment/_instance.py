"""Describe an instance of the platform's list."""

from dataclasses import dataclass
from enum import StrEnum

from ._resources import Resources


class InstanceState(StrEnum):
    """Say what an instance is doing."""

    UP = "up"
    MOVING = "moving"
    MAINTENANCE = "upkeep"
    DOWN = "down"


@dataclass(frozen=True, slots=True)
class Instance:
    """Hold an instance's pool, state and the upstream that runs on it."""

    id: str
    pool: str
    state: InstanceState
    zone: str
    labels: frozenset[str]
    capacity: Resources
    # Empty while no upstream runs on it.
    upstream: str
