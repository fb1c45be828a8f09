"""Define the identifier of a task."""

from typing import NamedTuple


class TaskId(NamedTuple):
    """Identify a task; occurrence, step and position are counted from 0."""

    job: str
    occurrence: int
    step: int
    position: int
