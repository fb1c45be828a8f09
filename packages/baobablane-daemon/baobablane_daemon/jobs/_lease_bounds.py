"""Tell the next owner which leases may be left on upstreams that nobody reaches."""

from collections.abc import Mapping
from dataclasses import dataclass, field

import msgspec


class UpstreamBound(msgspec.Struct, frozen=True, array_like=True):
    """Bound the runs on one upstream that its owner did not reach."""

    incarnation: int
    # Time from the heartbeat until they have certainly ended.
    milliseconds: int
    # The latest owner that may have renewed their leases.
    epoch: int


@dataclass(frozen=True, slots=True)
class LeaseBounds:
    """Hold what an owner knows of leases that it does not renew."""

    by_upstream: Mapping[str, UpstreamBound] = field(default_factory=dict)
    # For how many seconds no owner before this one had renewed any other lease;
    # negative if it may still do so. None if the owner's version does not tell it.
    earlier_renewal_age: float | None = None
    # Runs that were started by then, in Unix milliseconds, have settled; 0 if that is
    # unknown.
    settled_ms: int = 0
