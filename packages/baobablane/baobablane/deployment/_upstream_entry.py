"""Describe an upstream as it registers itself."""

from dataclasses import dataclass

from ._resources import Resources


@dataclass(frozen=True, slots=True)
class UpstreamEntry:
    """Hold what an upstream says of itself in its heartbeat."""

    id: str
    pool: str
    address: str
    zone: str
    # The Unix millisecond of its start: the same id with another value has lost all.
    incarnation: int
    capacity: Resources
    labels: frozenset[str]
    is_draining: bool
