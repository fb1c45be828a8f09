"""Re-export the engine of an entry instance."""

from ._at_most_once import AtMostOnce
from ._call import CallAnswer, CallOrder
from ._deferred import DeferredJobs
from ._engine import Engine
from ._make_status import make_status
from ._planner_task import PlannerTask
from ._run import RequestRunner
from ._serve import CallServer
from ._status import StatusReport
from ._traffic import Traffic

__all__ = [
    "AtMostOnce",
    "CallAnswer",
    "CallOrder",
    "CallServer",
    "DeferredJobs",
    "Engine",
    "PlannerTask",
    "RequestRunner",
    "StatusReport",
    "Traffic",
    "make_status",
]
