"""Define the demand that entry instances report to each other."""

import msgspec


class DemandLine(msgspec.Struct, frozen=True, array_like=True):
    """Store one team's requests for one pool at one entry instance."""

    pool: str
    team: str
    waiting: int
    running: int
    # Slot-seconds used so far, as a total that only grows.
    served_total: float
