"""Re-export the scheduler, its orders and reports, and its views of the fleet."""

from ._advice import AdviceRequest
from ._event import CRASH_EVENT, SchedulingEvent
from ._fleet_view import FleetView
from ._inherited_lease import InheritedLease
from ._job_run import JobRun
from ._lease_tracker import KILL_SECONDS, SLOWEST_CLOCK_RATE, LeaseTracker
from ._movable_run import MovableRun
from ._orders import PaceOrder, StartOrder, StartResult, StopOrder
from ._policy import SchedulingPolicy
from ._pool_demand import PoolDemand
from ._relocation_room import RelocationRoom
from ._report import EndedRun, EndReason, RenewalReport, RunningTask
from ._run_times import RunTimes
from ._scheduler import Scheduler
from ._upstream import Upstream
from ._upstream_view import StepKey, UpstreamView
from ._urgency import USELESS_MULTIPLE, objective_seconds

__all__ = [
    "CRASH_EVENT",
    "KILL_SECONDS",
    "SLOWEST_CLOCK_RATE",
    "USELESS_MULTIPLE",
    "AdviceRequest",
    "EndReason",
    "EndedRun",
    "FleetView",
    "InheritedLease",
    "JobRun",
    "LeaseTracker",
    "MovableRun",
    "PaceOrder",
    "PoolDemand",
    "RelocationRoom",
    "RenewalReport",
    "RunTimes",
    "RunningTask",
    "SchedulingEvent",
    "SchedulingPolicy",
    "Scheduler",
    "StartOrder",
    "StartResult",
    "StepKey",
    "StopOrder",
    "Upstream",
    "UpstreamView",
    "objective_seconds",
]
