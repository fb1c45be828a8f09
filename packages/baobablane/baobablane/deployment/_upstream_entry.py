"""Define the entry of an upstream in the platform's list of upstreams."""

from dataclasses import dataclass

from ._resources import Resources


@dataclass(frozen=True, slots=True)
class UpstreamEntry:
    """Describe an upstream as listed in the topic of upstreams."""

    id: str
    pool: str
    # `host:port`; empty if the upstream is known only from job records.
    address: str
    zone: str
    # Start time in Unix milliseconds. Another value under the same id means that the
    # upstream restarted and lost all its tasks.
    incarnation: int
    capacity: Resources
    labels: frozenset[str]
    is_draining: bool
