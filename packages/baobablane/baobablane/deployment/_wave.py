"""Define a maintenance wave."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Wave:
    """Hold the instances to maintain and the time limit of the wave."""

    number: int
    instances: tuple[str, ...]
    duration_seconds: float
    # Maximum number of instances that may be unavailable at the same time.
    max_concurrent_instances: int
