"""Re-export the engine of an entry instance."""

from ._call import CallAnswer, CallOrder
from ._engine import Engine
from ._make_status import make_status
from ._serve import CallServer
from ._status import StatusReport

__all__ = [
    "CallAnswer",
    "CallOrder",
    "CallServer",
    "Engine",
    "StatusReport",
    "make_status",
]
