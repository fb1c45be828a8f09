"""Describe a broken promise."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Breach:
    """Hold which promise was broken, when, how, and by what to find it in the logs."""

    promise: str
    at: float
    detail: str
    # The id of a job, or the name of an instance or a wave.
    subject: str

    def __str__(self) -> str:
        return f"{self.promise} at {self.at:.2f} s: {self.detail}"
