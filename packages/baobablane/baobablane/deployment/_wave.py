"""Describe a maintenance wave."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Wave:
    """Hold the instances that are due for upkeep, and by when."""

    number: int
    instances: tuple[str, ...]
    duration_seconds: float
    max_concurrent_instances: int
