"""Hold the bounds that the platform sets for leases and orders."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class PlatformLimits:
    """Hold the platform's bounds, in seconds."""

    # Longest lease that an upstream grants.
    longest_lease: float = 10.0
    # How long after its withdrawal a key must have stopped working.
    key_withdrawal: float = 5.0
    # How long two holders of one instance's orders must stay apart.
    order_lease: float = 3.0
    # How long a terminated process may take.
    stop_grace: float = 6.0
    # How long a finished job's state must be known.
    state_kept: float = 120.0
    # Slow-down of work away from its data or split over racks, as a factor.
    remote_factor: float = 2.0
    # How long a serving task may stay over its target because of others.
    interference: float = 4.0
