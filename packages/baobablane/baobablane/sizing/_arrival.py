"""Define the arrival of work at a pool."""

from typing import NamedTuple


class Arrival(NamedTuple):
    """Hold when a job was accepted, for which pool, and its declared core-seconds."""

    # In Unix seconds.
    at: float
    pool: str
    core_seconds: float
