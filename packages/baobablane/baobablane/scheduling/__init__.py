"""Re-export the scheduler, its orders and reports, and its views of the fleet."""

from ._advice import AdviceRequest
from ._event import CRASH_EVENT, SchedulingEvent
from ._fleet_view import FleetView
from ._lease_tracker import KILL_SECONDS, SLOWEST_CLOCK_RATE, LeaseTracker
from ._movable_run import MovableRun
from ._orders import PaceOrder, StartOrder, StartResult, StopOrder
from ._policy import SchedulingPolicy
from ._pool_demand import PoolDemand
from ._relocation_room import RelocationRoom
from ._report import EndedRun, EndReason, RenewalReport, RunningTask
from ._scheduler import Scheduler
from ._upstream_view import StepKey, UpstreamView

__all__ = [
    "CRASH_EVENT",
    "KILL_SECONDS",
    "SLOWEST_CLOCK_RATE",
    "AdviceRequest",
    "EndReason",
    "EndedRun",
    "FleetView",
    "LeaseTracker",
    "MovableRun",
    "PaceOrder",
    "PoolDemand",
    "RelocationRoom",
    "RenewalReport",
    "RunningTask",
    "SchedulingEvent",
    "SchedulingPolicy",
    "Scheduler",
    "StartOrder",
    "StartResult",
    "StepKey",
    "StopOrder",
    "UpstreamView",
]
