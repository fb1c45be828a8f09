"""Bound the leases that earlier owners granted on an upstream."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class InheritedLease:
    """Hold by when an upstream that no owner has reached since runs nothing."""

    # The bound holds for this one only.
    incarnation: int
    # In seconds of the monotonic clock.
    expires_at: float
    # The latest owner that may have renewed the leases.
    epoch: int
