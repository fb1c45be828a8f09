"""Hold a job's state as it is shown to a caller."""

from dataclasses import dataclass

from ._job_state import JobState


@dataclass(frozen=True, slots=True)
class ShownState:
    """Hold a state and, if it may have changed since, how many seconds old it is."""

    state: JobState
    age_seconds: float = 0.0
