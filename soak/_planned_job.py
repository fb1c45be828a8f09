"""Describe one job that a caller submits."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class PlannedJob:
    """Hold a job, when it is submitted, and what may become of it."""

    at: float
    id: str
    kind: str
    body: dict[str, object]
    # The number of the entry instance that is called first.
    entry: int
    # Time from the acceptance to the cancellation; None for no cancellation.
    cancel_seconds: float | None = None
    # Number of tasks of each step.
    counts: tuple[int, ...] = (1,)
    occurrences: int = 1

    @property
    def task_count(self) -> int:
        """Return the number of the tasks of all occurrences."""
        return sum(self.counts) * self.occurrences

    @property
    def allowance(self) -> int:
        """Return how many tasks of a step may be away at once; 0 for no limit."""
        return 1 if self.kind == "serving" else 0
