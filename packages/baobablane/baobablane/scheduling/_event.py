"""Define the event that describes a scheduling decision for the log."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class SchedulingEvent:
    """Describe one decision, the job it concerns, and the inputs behind it."""

    event: str
    job: str = ""
    # The task within the job, as `occurrence.step.position`.
    task: str = ""
    run: int = 0
    upstream: str = ""
    reason: str = ""
    # Age of the input that led to the decision.
    age_seconds: float = 0.0
