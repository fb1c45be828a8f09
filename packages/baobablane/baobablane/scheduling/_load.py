"""Sum up a pool's load for the admission of jobs."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class PoolLoad:
    """Hold a pool's cores and the work that waits or runs there."""

    cores: float
    # Declared core-seconds that are not done yet.
    backlog_core_seconds: float
