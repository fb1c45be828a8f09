"""Define the load of all pools."""

import msgspec

from ._pool_load import PoolLoad


class LoadSummary(msgspec.Struct, frozen=True):
    """Hold the load of the backlogged pools as the owner saw it."""

    # Unix milliseconds of the owner's clock.
    at_ms: int
    # Increases with each record of an owner, and from one owner to the next.
    version: int
    pools_by_name: dict[str, PoolLoad] = {}
