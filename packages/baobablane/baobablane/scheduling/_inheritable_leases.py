"""Find the upstreams of which the next owner can know when their leases end.

Load pattern: owners follow one another within seconds, while an upstream is unreachable
for all of them. Its tasks start elsewhere once the leases of the last owner that
reached it have expired, however many owners there were since.
"""

from ._inherited_lease import InheritedLease
from ._state import SchedulerState
from ._upstream import Upstream

# Most upstreams that are lost for a moment are regained before this time. As long as
# the next owner may know an end of their leases, these can't be renewed.
MIN_UNREACHABLE_SECONDS = 1.0


def find_inheritable(
    state: SchedulerState, epoch: int, now: float
) -> dict[str, InheritedLease]:
    """Return the leases on upstreams that the owner under `epoch` does not reach."""
    unknown_seconds = state.policy.unknown_lease_seconds
    return {
        name: InheritedLease(
            upstream.entry.incarnation,
            upstream.latest_lease_expiry(unknown_seconds),
            _granting_epoch(upstream, epoch),
        )
        for name, upstream in state.upstreams.items()
        if _is_lost(upstream, now)
    }


def _is_lost(upstream: Upstream, now: float) -> bool:
    if upstream.is_reachable or not upstream.runs:
        return False
    if upstream.inherited_lease is not None and not upstream.has_granted_lease():
        return True
    since = upstream.unreachable_since
    return since is not None and now - since >= MIN_UNREACHABLE_SECONDS


def _granting_epoch(upstream: Upstream, epoch: int) -> int:
    """Return the latest owner that may have renewed the leases."""
    if upstream.has_granted_lease():
        return epoch
    if upstream.inherited_lease is not None:
        return upstream.inherited_lease.epoch
    return epoch - 1
