"""Re-export the schema of the rules file and the loading of its entries."""

from ._find_line import find_line
from ._load import load_entries
from ._model import KeyModel, PoolModel, QueueModel, RulesModel, ServiceModel, TeamModel

__all__ = [
    "KeyModel",
    "PoolModel",
    "QueueModel",
    "RulesModel",
    "ServiceModel",
    "TeamModel",
    "find_line",
    "load_entries",
]
