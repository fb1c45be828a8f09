"""Re-export how tasks are placed on upstreams, watched and ended."""

from ._advice import AdviceRequest
from ._bounds import SchedulingBounds
from ._event import SchedulingEvent
from ._fleet_view import FleetView
from ._lease_bound import LeaseBound
from ._orders import PaceOrder, StartOrder, StartResult, StopOrder
from ._pool_demand import PoolDemand
from ._report import EndedRun, EndReason, HoldReport, RunningRow
from ._scheduler import Scheduler
from ._upstream_view import StepKey, UpstreamView

__all__ = [
    "AdviceRequest",
    "EndReason",
    "EndedRun",
    "FleetView",
    "HoldReport",
    "LeaseBound",
    "PaceOrder",
    "PoolDemand",
    "RunningRow",
    "SchedulingBounds",
    "SchedulingEvent",
    "Scheduler",
    "StartOrder",
    "StartResult",
    "StepKey",
    "StopOrder",
    "UpstreamView",
]
