"""Re-export waiting lines, run-time estimates and the class floor."""

from ._class_floor import ClassFloor
from ._run_time import RunTimeEstimate
from ._waiting_line import Waiting, WaitingLine

__all__ = ["ClassFloor", "RunTimeEstimate", "Waiting", "WaitingLine"]
