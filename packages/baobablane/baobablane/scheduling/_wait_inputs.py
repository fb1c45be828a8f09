"""Define what the log tells of the latest run of a task that waits."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class WaitInputs:
    """Describe the latest run of a waiting task, and the bound that holds the task.

    None stands for what this owner does not know, or for a bound that there is not.
    """

    # Age of the run when its upstream was found unreachable.
    run_seconds: float | None = None
    # An earlier owner started the run.
    is_restored: bool | None = None
    # Runs lost soon after their start, and runs lost after they had settled.
    losses: int = 0
    late_losses: int = 0
    # Tasks of all jobs that are suspected of a crash, and the upstreams on which this
    # owner has begun trials so far.
    suspects: int = 0
    trials: int = 0
    # For how long the upstream of the run has not responded to this owner. None if it
    # never did.
    silent_seconds: float | None = None
    # In how many seconds the bound ends, and from which event on it counts.
    ends_in_seconds: float | None = None
    since: str | None = None
    # The epoch of the earlier owner that may have renewed the lease last.
    renewed_in_epoch: int | None = None
