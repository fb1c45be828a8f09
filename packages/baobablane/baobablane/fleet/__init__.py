"""Re-export drains, moves between pools and maintenance waves."""

from ._drain import DrainReport, is_drained
from ._evidence import FleetEvidence
from ._planner import PlannedStep, plan_steps

__all__ = ["DrainReport", "FleetEvidence", "PlannedStep", "is_drained", "plan_steps"]
