"""Re-export the decisions on the evacuation of availability zones."""

from ._plan import plan_evictions
from ._start_window import VIEW_MARGIN_SECONDS, start_window_seconds
from ._zone_event import ZoneEvent
from ._zone_watch import ZoneWatch

__all__ = [
    "VIEW_MARGIN_SECONDS",
    "ZoneEvent",
    "ZoneWatch",
    "plan_evictions",
    "start_window_seconds",
]
