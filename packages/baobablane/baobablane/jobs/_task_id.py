"""Name one task of a job."""

from typing import NamedTuple


class TaskId(NamedTuple):
    """Identify a task; occurrence, step and position count from 0."""

    job: str
    occurrence: int
    step: int
    position: int
