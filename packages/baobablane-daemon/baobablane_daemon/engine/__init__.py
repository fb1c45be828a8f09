"""Re-export an entry instance's engine and the services that use it."""

from ._at_most_once import AtMostOnce
from ._caller_messages import CallerAnswer, CallerRequest
from ._caller_service import CallerService
from ._deferred_jobs import DeferredJobs
from ._engine import Engine
from ._make_status import make_status
from ._planner_task import PlannerTask
from ._request_runner import RequestRunner
from ._status import StatusReport
from ._traffic import Traffic

__all__ = [
    "AtMostOnce",
    "CallerAnswer",
    "CallerRequest",
    "CallerService",
    "DeferredJobs",
    "Engine",
    "PlannerTask",
    "RequestRunner",
    "StatusReport",
    "Traffic",
    "make_status",
]
