"""Define the load of one pool."""

import msgspec

from ._account_load import AccountLoad

# Less waiting work than this per core starts as soon as the next tasks end.
BACKLOG_SECONDS = 0.5


class PoolLoad(msgspec.Struct, frozen=True, array_like=True):
    """Hold a pool's cores and its work; work is in declared core-seconds."""

    # Cores of the usable upstreams, and those that moves bring within 2 s.
    cores: float
    arriving_cores: float
    # Unused cores, and the most that are unused on one upstream.
    free_cores: float
    largest_room_cores: float
    # What the running tasks still have to do.
    running: float
    # What waits in all, with jobs whose results are of no use anymore.
    waiting: float
    # Core-seconds of work that the pool does in a second, without `arriving_cores`.
    drain_rate: float
    # Work done since the owner's takeover.
    drained: float
    accounts: tuple[AccountLoad, ...] = ()

    def is_backlogged(self) -> bool:
        """Return whether more waits than the pool's cores do in the set time."""
        return self.waiting > BACKLOG_SECONDS * self.cores
