"""Re-export the backlog, run-time estimates and the order of queue classes."""

from ._backlog import Backlog, WaitingRequest
from ._class_floor import ClassFloor
from ._run_time import RunTimeEstimate

__all__ = [
    "Backlog",
    "ClassFloor",
    "RunTimeEstimate",
    "WaitingRequest",
]
