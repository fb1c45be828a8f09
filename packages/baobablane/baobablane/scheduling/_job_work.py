"""Define the amount of work of a job."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class JobWork:
    """Hold expected times and core-seconds, without those of long-running tasks."""

    # Longest chain of steps of one occurrence.
    critical_path_ms: float
    # Longest chain of unfinished steps of the latest open occurrence.
    remaining_path_ms: float
    # Of unfinished tasks, in full for those that run.
    remaining_core_seconds: float
