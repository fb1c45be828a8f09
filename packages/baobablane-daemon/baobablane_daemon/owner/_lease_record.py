"""Record on which upstreams an owner grants no leases.

Load pattern: owners follow one another within seconds, while an upstream is unreachable
for all of them. Its tasks start elsewhere once the leases of the last owner that
reached it have expired, however many owners there were since.
"""

import asyncio
from collections.abc import Callable, Mapping

from baobablane.scheduling import InheritedLease, Scheduler, Upstream

from ..jobs import LeaseBounds, UpstreamBound

# Most upstreams that are lost for a moment are regained before this time. As long as
# the heartbeats name an upstream, its leases can't be renewed.
MIN_UNREACHABLE_SECONDS = 1.0
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
        upstreams = self._scheduler.state.upstreams
        named = {u.id: u for u in upstreams.values() if _is_lost(u, now)}
        self._sent = frozenset(named)
        for name, upstream in upstreams.items():
            upstream.may_grant_lease = self.may_grant(name)
        bounds = {name: self._bound(upstream, now) for name, upstream in named.items()}
        return LeaseBounds(bounds, 0.0 if is_leaving else None)

    def note_stored(self) -> None:
        """Take the heartbeat that was sent last for the newest one."""
        self._stored = self._sent
        for name, upstream in self._scheduler.state.upstreams.items():
            upstream.may_grant_lease = self.may_grant(name)
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

    def _bound(self, upstream: Upstream, now: float) -> UpstreamBound:
        policy = self._scheduler.state.policy
        expires_at = upstream.latest_lease_expiry(policy.unknown_lease_seconds)
        if _has_granted(upstream):
            epoch = self._epoch
        elif upstream.inherited_lease is not None:
            epoch = upstream.inherited_lease.epoch
        else:
            epoch = self._epoch - 1
        return _make_bound(upstream.entry.incarnation, expires_at - now, epoch)


def encode_inherited(
    inherited: Mapping[str, InheritedLease], now: float
) -> dict[str, UpstreamBound]:
    """Return what is left of the bounds that earlier owners recorded."""
    return {
        name: _make_bound(lease.incarnation, lease.expires_at - now, lease.epoch)
        for name, lease in inherited.items()
    }


def decode_inherited(bounds: LeaseBounds, sent_at: float) -> dict[str, InheritedLease]:
    """Return the bounds of a heartbeat that was sent at a time, or before it."""
    return {
        name: InheritedLease(
            bound.incarnation, sent_at + bound.milliseconds / 1000, bound.epoch
        )
        for name, bound in bounds.by_upstream.items()
    }


def _is_lost(upstream: Upstream, now: float) -> bool:
    if upstream.is_reachable or not upstream.runs:
        return False
    since = upstream.unreachable_since
    return not _has_granted(upstream) or (
        since is not None and now - since >= MIN_UNREACHABLE_SECONDS
    )


def _has_granted(upstream: Upstream) -> bool:
    return upstream.lease is not None and upstream.lease.has_granted


def _make_bound(incarnation: int, seconds: float, epoch: int) -> UpstreamBound:
    return UpstreamBound(incarnation, max(0, round(seconds * 1000 + 0.5)), epoch)
