"""Hold the bounds that the platform sets for leases and orders."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class PlatformLimits:
    """Hold the platform's bounds, in seconds."""

    # Longest lease that an upstream grants.
    max_lease_seconds: float = 10.0
    # How long after its withdrawal a key must have stopped working.
    key_withdrawal_seconds: float = 5.0
    # How long two holders of one instance's orders must stay apart.
    order_lease_seconds: float = 3.0
    # How long a terminated process may take.
    stop_grace_seconds: float = 6.0
    # How long a finished job's state must be known.
    state_retention_seconds: float = 120.0
    # Slow-down of work away from its data or split over racks, as a factor.
    remote_factor: float = 2.0
    # How long a serving task may stay over its target because of others.
    interference_seconds: float = 4.0
