"""Name the states of a job."""

from enum import IntEnum


class JobState(IntEnum):
    """Say how far a job is."""

    PENDING = 0
    RUNNING = 1
    COMPLETED = 2
    FAILED = 3
    CANCELLED = 4

    def is_final(self) -> bool:
        """Return whether the state no longer changes."""
        return self >= JobState.COMPLETED
