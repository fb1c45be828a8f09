"""Re-export how many instances each pool gets, and when."""

from ._codec import Rises, decode_rises, encode_rises
from ._forecast import TurnForecast
from ._plan import MoveOrder, plan_moves
from ._sizing import PoolSizing
from ._target import PoolTarget

__all__ = [
    "MoveOrder",
    "PoolSizing",
    "PoolTarget",
    "Rises",
    "TurnForecast",
    "decode_rises",
    "encode_rises",
    "plan_moves",
]
