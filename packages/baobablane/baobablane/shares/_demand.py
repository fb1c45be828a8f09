"""Define what entry instances tell each other about demand."""

import msgspec


class DemandLine(msgspec.Struct, frozen=True, array_like=True):
    """Hold one team's work for one pool at one entry instance."""

    pool: str
    team: str
    waiting: int
    running: int
    # Slot-seconds received, as a total that only grows.
    served_total: float
