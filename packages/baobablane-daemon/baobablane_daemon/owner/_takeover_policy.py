"""Bound how long a new owner waits for upstreams that it can't reach.

Load pattern: upstreams are lost while the owner changes or the store is away. Their
tasks wait until no lease can be left, and no longer.
"""

from baobablane.scheduling import KILL_SECONDS, SLOWEST_CLOCK_RATE, SchedulingPolicy

from ._lease_record import LEASE_SECONDS

# Entries that expired during an outage of the store are back within 2 s.
MIN_UNLISTED_GRACE_SECONDS = 2.5


def make_policy(last_renewal_age: float | None) -> SchedulingPolicy:
    """Return the policy of an owner that begins now.

    `last_renewal_age` is for how many seconds no earlier owner has renewed a lease, or
    None if that is unknown.
    """
    default = SchedulingPolicy()
    if last_renewal_age is None:
        return default
    # Each lease that was granted by then expires after this time.
    lease_seconds = LEASE_SECONDS / SLOWEST_CLOCK_RATE + KILL_SECONDS
    bound = min(
        default.unknown_lease_seconds, max(0.0, lease_seconds - last_renewal_age)
    )
    return SchedulingPolicy(
        unknown_lease_seconds=bound,
        unlisted_grace_seconds=max(MIN_UNLISTED_GRACE_SECONDS, bound),
    )
