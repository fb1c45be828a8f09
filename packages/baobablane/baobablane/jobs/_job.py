"""Describe a job as it was accepted."""

import msgspec

from ._step import Step


class Job(msgspec.Struct, frozen=True, omit_defaults=True):
    """Hold a job; nothing of it changes after it was accepted."""

    id: str
    queue: str
    pool: str
    # Empty for jobs of public queues that came without a key.
    account: str
    spec: str
    steps: tuple[Step, ...]
    # Unix milliseconds.
    accepted_ms: int
    # Unix milliseconds of the first occurrence of a repeated job.
    first_due_ms: int = 0
    interval_ms: int = 0
    # 0 for a job that runs once.
    occurrences: int = 0

    def is_periodic(self) -> bool:
        """Return whether the job's steps run at given times."""
        return self.occurrences > 0

    def is_lasting(self) -> bool:
        """Return whether a step runs until the job is cancelled."""
        return any(step.is_lasting for step in self.steps)

    def due_ms(self, occurrence: int) -> int:
        """Return the Unix millisecond at which an occurrence may start."""
        if not self.is_periodic():
            return self.accepted_ms
        return self.first_due_ms + occurrence * self.interval_ms
