"""Describe a run that was lost with its upstream, as far as this owner knows."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class LostRun:
    """Hold what is logged of a lost run while its task waits for the next one."""

    number: int
    # Age when its upstream was found unreachable; None if an earlier owner started it.
    age_seconds: float | None
    is_restored: bool
    # When its upstream last responded to this owner; None if it never did.
    seen_at: float | None
