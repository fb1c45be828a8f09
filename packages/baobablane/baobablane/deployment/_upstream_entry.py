"""Define an upstream's description of itself."""

from dataclasses import dataclass

from ._resources import Resources


@dataclass(frozen=True, slots=True)
class UpstreamEntry:
    """Describe an upstream as reported in its heartbeat."""

    id: str
    pool: str
    address: str
    zone: str
    # Start time in Unix milliseconds. Another value under the same id means that the
    # upstream restarted and lost all its tasks.
    incarnation: int
    capacity: Resources
    labels: frozenset[str]
    is_draining: bool
