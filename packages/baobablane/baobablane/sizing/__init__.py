"""Re-export how many instances each pool gets, and when."""

from ._forecast import TurnForecast
from ._plan import MoveOrder, plan_moves
from ._sizing import PoolSizing

__all__ = ["MoveOrder", "PoolSizing", "TurnForecast", "plan_moves"]
