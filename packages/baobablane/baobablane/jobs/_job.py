"""Define a job as it was accepted."""

import msgspec

from ..deployment import QueueRules
from ._step import Step


class Job(msgspec.Struct, frozen=True, omit_defaults=True):
    """Describe a job; no field changes after the job was accepted."""

    id: str
    queue: str
    pool: str
    # Client account; empty for a job that a public queue accepted without a key.
    account: str
    spec: str
    steps: tuple[Step, ...]
    # Time of acceptance in Unix milliseconds.
    accepted_ms: int
    # For a periodic job, the time of the first occurrence in Unix milliseconds.
    first_due_ms: int = 0
    interval_ms: int = 0
    # Number of occurrences of a periodic job; 0 for a job that runs once.
    occurrences: int = 0
    # Those of its queue, which may be dropped while the job waits or runs. None in
    # records of earlier builds.
    rules: QueueRules | None = None

    def is_periodic(self) -> bool:
        """Return whether the job runs at set times instead of once on acceptance."""
        return self.occurrences > 0

    def is_lasting(self) -> bool:
        """Return whether any step is long-running."""
        return any(step.is_lasting for step in self.steps)

    def declared_core_seconds(self) -> float:
        """Return one occurrence's declared core-seconds, except long-running tasks."""
        return sum(
            step.count * step.needs.cpu_millis * step.estimated_ms / 1e6
            for step in self.steps
            if not step.is_lasting
        )

    def due_ms(self, occurrence: int) -> int:
        """Return the time, in Unix milliseconds, from which an occurrence may start."""
        if not self.is_periodic():
            return self.accepted_ms
        return self.first_due_ms + occurrence * self.interval_ms
