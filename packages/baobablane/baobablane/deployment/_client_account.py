"""Describe a client account."""

from dataclasses import dataclass

from ._resources import NO_RESOURCES, Resources


@dataclass(frozen=True, slots=True)
class ClientAccount:
    """Hold a client account's keys, its share when all is full and its upper limit."""

    name: str
    keys: tuple[str, ...]
    weight: float = 1.0
    # What may run at once over all pools; a part that is 0 is not limited.
    cap: Resources = NO_RESOURCES
