"""Re-export the sizing of pools and the planning of moves between them."""

from ._arrival import Arrival
from ._codec import BurstStarts, decode_burst_starts, encode_burst_starts
from ._forecast import BurstForecast
from ._plan import MoveOrder, plan_moves
from ._sizing import PoolSizing
from ._target import PoolTarget

__all__ = [
    "Arrival",
    "BurstForecast",
    "BurstStarts",
    "MoveOrder",
    "PoolSizing",
    "PoolTarget",
    "decode_burst_starts",
    "encode_burst_starts",
    "plan_moves",
]
