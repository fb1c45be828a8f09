"""Re-export the planning of drains, moves between pools and maintenance waves."""

from ._drain import DrainReport, is_drained
from ._observations import FleetObservations
from ._planner import PlannedStep, plan_steps

__all__ = [
    "DrainReport",
    "FleetObservations",
    "PlannedStep",
    "is_drained",
    "plan_steps",
]
