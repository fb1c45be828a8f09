"""Re-export the reading of operators' rules and asset registers."""

from ._load import load_input
from ._locate import locate
from ._model import KeyModel, PoolModel, QueueModel, RulesModel, ServiceModel, TeamModel

__all__ = [
    "KeyModel",
    "PoolModel",
    "QueueModel",
    "RulesModel",
    "ServiceModel",
    "TeamModel",
    "load_input",
    "locate",
]
