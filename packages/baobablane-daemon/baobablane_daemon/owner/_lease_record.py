"""Record on which upstreams an owner grants no leases."""

import asyncio
import math
from collections.abc import Callable, Mapping

from baobablane.scheduling import InheritedLease, Scheduler

from ..jobs import LeaseBounds, UpstreamBound

# Bound on a wait for the heartbeat that allows leases.
GRANT_WAIT_SECONDS = 0.3


class LeaseRecord:
    """Hold which upstreams the newest heartbeat names as not reached.

    The next owner relies on it, so no lease is granted on an upstream while a heartbeat
    that names it may be the newest one. The claim and all heartbeats until `complete`
    stand for all upstreams.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        epoch: int,
        inherited: Mapping[str, InheritedLease],
        renewal_age: Callable[[float], float | None],
    ) -> None:
        """Start from what earlier owners recorded.

        `renewal_age` returns for how many seconds none of them has renewed any lease.
        """
        self._scheduler = scheduler
        self._epoch = epoch
        self._inherited = inherited
        self._renewal_age = renewal_age
        self._is_complete = False
        # Those that the newest stored heartbeat names, and the one that is on its way.
        # None stands for all upstreams.
        self._stored: frozenset[str] | None = None
        self._sent: frozenset[str] | None = None
        self._stored_event = asyncio.Event()
        # Set while a lease waits for the next heartbeat.
        self.is_wanted = asyncio.Event()

    def complete(self) -> None:
        """Name only the upstreams that are not reached, as all runs are known now."""
        self._is_complete = True

    def make_bounds(self, now: float, is_leaving: bool) -> LeaseBounds:
        """Return the bounds for a heartbeat, which is to be sent now."""
        if not self._is_complete:
            self._sent = None
            return LeaseBounds(
                encode_inherited(self._inherited, now), self._renewal_age(now)
            )
        leases = self._scheduler.inheritable_leases(self._epoch, now)
        self._sent = frozenset(leases)
        self._scheduler.allow_leases(self.may_grant)
        return LeaseBounds(encode_inherited(leases, now), 0.0 if is_leaving else None)

    def note_stored(self) -> None:
        """Take the heartbeat that was sent last for the newest one."""
        self._stored = self._sent
        self._scheduler.allow_leases(self.may_grant)
        self._stored_event.set()
        self._stored_event = asyncio.Event()

    def may_grant(self, upstream_id: str) -> bool:
        """Return whether no heartbeat that may be the newest names an upstream."""
        return (
            self._stored is not None
            and self._sent is not None
            and upstream_id not in self._stored
            and upstream_id not in self._sent
        )

    async def wait_until_grantable(self, upstream_id: str) -> bool:
        """Return whether leases may be granted, after a bounded wait for that."""
        try:
            async with asyncio.timeout(GRANT_WAIT_SECONDS):
                while not self.may_grant(upstream_id):
                    self.is_wanted.set()
                    await self._stored_event.wait()
        except TimeoutError:
            return False
        return True

    def is_outdated(self) -> bool:
        """Return whether the newest heartbeat names an upstream that is reached."""
        if not self._is_complete:
            return False
        if self._stored is None:
            return True
        upstreams = self._scheduler.state.upstreams
        return any(
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
