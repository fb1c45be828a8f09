"""Hold since when long-running tasks wait."""

from dataclasses import dataclass, field

from ..jobs import TaskId
from ._lost_run import LostRun


@dataclass(slots=True)
class Wait:
    """Hold since when a task waits, and what was last logged of that."""

    since: float
    reason: str = ""
    logged_at: float = float("-inf")


@dataclass(slots=True)
class WaitTable:
    """Hold the long-running tasks that don't run, as of the latest check."""

    wait_by_task: dict[TaskId, Wait] = field(default_factory=dict)
    # Each is kept until its task starts again.
    lost_run_by_task: dict[TaskId, LostRun] = field(default_factory=dict)
    checked_at: float = float("-inf")
    # Number of upstreams on which this owner has begun trials.
    trial_count: int = 0
    # When it was last logged that a check raised an error.
    error_logged_at: float = float("-inf")
