"""Describe a decision of the scheduler for the log."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class SchedulingEvent:
    """Hold what was decided, for which job, and by which inputs."""

    event: str
    job: str = ""
    # The task, as occurrence, step and index.
    task: str = ""
    run: int = 0
    upstream: str = ""
    reason: str = ""
    # Age, in seconds, of the input that decided.
    age_seconds: float = 0.0
