"""Hold the number of a queue's pending jobs that callers are shown."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ShownCount:
    """Hold a number of jobs, and how many seconds old it is if it may be wrong."""

    count: int
    age_seconds: float = 0.0
