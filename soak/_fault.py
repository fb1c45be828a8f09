"""Describe one fault."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Fault:
    """Hold when a fault begins and ends, its kind and what it affects."""

    at: float
    kind: str
    # Names of processes, links or upstreams; empty for the store and the operator.
    targets: tuple[str, ...]
    seconds: float

    @property
    def ends_at(self) -> float:
        """Return when the fault ends, in seconds since the start."""
        return self.at + self.seconds

    def __str__(self) -> str:
        targets = ", ".join(self.targets) or "-"
        return f"{self.at:6.2f} s  {self.kind:16} {self.seconds:4.1f} s  {targets}"
