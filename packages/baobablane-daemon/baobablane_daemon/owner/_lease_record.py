"""Record on which upstreams an owner grants no leases."""

import asyncio
import math
from collections.abc import Callable, Mapping

from baobablane.scheduling import InheritedLease, Scheduler

from ..jobs import LeaseBounds, UpstreamBound, boot_seconds

# Outlasts a simultaneous power loss of all entry instances: they run again after 2.2 s,
# the owner renews all leases 0.3 s later, and the last renewal may be 0.9 s old. A
# longer lease would delay work that is lost with an upstream, because it may run
# elsewhere only after this time.
LEASE_SECONDS = 3.8
# Bound on a wait for the heartbeat that allows leases.
GRANT_WAIT_SECONDS = 0.3
# No lease lasts for longer after the latest heartbeat that is stored, so that a new
# owner that does not reach the upstream knows when it has expired. Tasks survive a
# store outage of 6.5 s.
MAX_LEASE_AFTER_HEARTBEAT_SECONDS = 7.0


class LeaseRecord:
    """Hold which upstreams the newest heartbeat names as not reached.

    The next owner relies on it, so no lease is granted on an upstream while a heartbeat
    that names it may be the newest one.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        epoch: int,
        inherited: Mapping[str, InheritedLease],
        earlier_renewal_age: Callable[[float], float],
        claimed_at: float,
    ) -> None:
        """Start from what the claim named, which earlier owners had recorded.

        `earlier_renewal_age` returns for how many seconds no earlier owner has renewed
        a lease of any other upstream. The claim was sent at `claimed_at` or later.
        """
        # When the newest stored heartbeat was made, and the one that is on its way.
        self._stored_at = self._sent_at = claimed_at
        self._scheduler = scheduler
        self._epoch = epoch
        self._inherited = inherited
        self._earlier_renewal_age = earlier_renewal_age
        self._is_complete = False
        # Those that the newest stored heartbeat names, and the one that is on its way.
        self._stored = frozenset(inherited)
        self._sent = self._stored
        self._stored_event = asyncio.Event()
        # Set while a lease waits for the next heartbeat.
        self.is_wanted = asyncio.Event()

    def complete(self) -> None:
        """Name the upstreams that this owner does not reach, as it knows all runs."""
        self._is_complete = True
        self._scheduler.allow_leases(self.may_grant)

    def make_bounds(self, now: float) -> LeaseBounds:
        """Return the bounds for a heartbeat, which is to be sent now."""
        self._sent_at = now
        leases = self._inherited
        settled_ms = self._scheduler.state.settled_ms
        if self._is_complete:
            leases = self._scheduler.inheritable_leases(self._epoch, now)
            settled_ms = self._scheduler.settled_ms(now)
            self._sent = frozenset(leases)
            self._scheduler.allow_leases(self.may_grant)
        return LeaseBounds(
            encode_inherited(leases, now), self._earlier_renewal_age(now), settled_ms
        )

    def note_stored(self) -> None:
        """Take the heartbeat that was sent last for the newest one."""
        self._stored, self._stored_at = self._sent, self._sent_at
        self._scheduler.allow_leases(self.may_grant)
        self._stored_event.set()
        self._stored_event = asyncio.Event()

    def may_grant(self, upstream_id: str) -> bool:
        """Return whether no heartbeat that may be the newest names an upstream."""
        return upstream_id not in self._stored and upstream_id not in self._sent

    def lease_seconds(self, now: float, seconds: float) -> float:
        """Return for how long a lease may be granted now, `seconds` at most."""
        left = self._stored_at + MAX_LEASE_AFTER_HEARTBEAT_SECONDS - now
        return max(0.0, min(seconds, left))

    async def wait_until_grantable(self, upstream_id: str) -> bool:
        """Return whether leases may be granted, after a bounded wait for that."""
        try:
            async with asyncio.timeout(GRANT_WAIT_SECONDS):
                while not (
                    self.may_grant(upstream_id)
                    and self.lease_seconds(boot_seconds(), LEASE_SECONDS) > 0.0
                ):
                    self.is_wanted.set()
                    await self._stored_event.wait()
        except TimeoutError:
            return False
        return True

    def is_outdated(self) -> bool:
        """Return whether the newest heartbeat names an upstream that is reached."""
        upstreams = self._scheduler.state.upstreams
        return self._is_complete and any(
            name in upstreams and upstreams[name].is_reachable for name in self._stored
        )


def encode_inherited(
    leases: Mapping[str, InheritedLease], now: float
) -> dict[str, UpstreamBound]:
    """Return what a heartbeat that is sent now says of leases."""
    return {
        name: UpstreamBound(
            lease.incarnation,
            max(0, math.ceil((lease.expires_at - now) * 1000)),
            lease.epoch,
        )
        for name, lease in leases.items()
    }


def decode_inherited(bounds: LeaseBounds, sent_at: float) -> dict[str, InheritedLease]:
    """Return the bounds of a heartbeat that was sent at a time, or before it."""
    return {
        name: InheritedLease(
            bound.incarnation, sent_at + bound.milliseconds / 1000, bound.epoch
        )
        for name, bound in bounds.by_upstream.items()
    }
