"""Define the states of a job."""

from enum import IntEnum


class JobState(IntEnum):
    """Name the state of a job."""

    PENDING = 0
    RUNNING = 1
    COMPLETED = 2
    FAILED = 3
    CANCELLED = 4

    def is_final(self) -> bool:
        """Return whether the state is final and no longer changes."""
        return self >= JobState.COMPLETED
