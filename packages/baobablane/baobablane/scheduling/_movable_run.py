"""Describe a long-running task that may be moved to another upstream."""

from dataclasses import dataclass

from ._orders import StopOrder
from ._upstream_view import StepKey


@dataclass(frozen=True, slots=True)
class MovableRun:
    """Hold the order that would stop a ready long-running task, and its step."""

    order: StopOrder
    step: StepKey
    # How many tasks of the step may be unavailable at the same time; 0 if the job sets
    # no limit.
    allowance: int
    is_cordoned: bool
