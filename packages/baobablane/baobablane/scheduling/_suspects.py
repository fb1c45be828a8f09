"""Track the tasks whose runs were lost soon after their start."""

from collections.abc import Sequence

from ..jobs import RunLoss, TaskId

# A task with several lost runs waits this long, from the latest, for the news whether
# those upstreams crashed. The time doubles with each further loss, up to the maximum.
HOLD_SECONDS = 10.0
MAX_HOLD_SECONDS = 60.0
# The same for a long-running task, which should run again within 6 s, the start of the
# trial included. It does not double: some instances never return, and bring no news.
LASTING_HOLD_SECONDS = 4.5
# A long-running task with one lost run is tried with others this long after its end, if
# it was not tried before. That leaves time for short tasks to end where it is to run.
LASTING_TRIAL_SECONDS = 1.5
# After three crashes a task may be started twice more. One that has used them up waits
# for the news of the last ones, for longer than a crashed instance is away.
MIN_CRASHES = 3
MAX_STARTS = 5
LAST_HOLD_SECONDS = 15.0


def hold_seconds(losses: int, is_lasting: bool) -> float:
    """Return how long a task waits for news after the latest of its lost runs."""
    if is_lasting:
        return LASTING_HOLD_SECONDS
    return min(HOLD_SECONDS * 2.0 ** max(0, losses - 2), MAX_HOLD_SECONDS)


def has_used_up_starts(losses: Sequence[RunLoss]) -> bool:
    """Return whether a task that crashes upstreams must not be started once more."""
    crashes = sum(loss.is_crash for loss in losses)
    return len(losses) >= MAX_STARTS and crashes >= MIN_CRASHES


class SuspectTable:
    """Hold which tasks have lost runs, by upstream, and until when they are held."""

    def __init__(self) -> None:
        """Start without any task."""
        self.held_until: dict[TaskId, float] = {}
        self._tasks_by_upstream: dict[str, set[TaskId]] = {}

    def __contains__(self, task: object) -> bool:
        """Return whether a task has lost runs."""
        return task in self.held_until

    def add(
        self,
        task: TaskId,
        upstream: str,
        ended_at: float,
        losses: int,
        is_lasting: bool,
    ) -> None:
        """Add a run that ended at a monotonic time, of a task with `losses` of them."""
        until = ended_at + hold_seconds(losses, is_lasting)
        self.held_until[task] = max(self.held_until.get(task, 0.0), until)
        self._tasks_by_upstream.setdefault(upstream, set()).add(task)

    def is_held(
        self, task: TaskId, losses: Sequence[RunLoss], is_lasting: bool, now: float
    ) -> bool:
        """Return whether a task still waits for news of its losses."""
        return task in self.held_until and now < self.end_of_hold(
            task, losses, is_lasting
        )

    def is_due(self, task: TaskId, losses: Sequence[RunLoss], now: float) -> bool:
        """Return whether a long-running suspect has waited for as long as it may."""
        until = self.end_of_hold(task, losses, True)
        if len(losses) == 1:
            until -= LASTING_HOLD_SECONDS - LASTING_TRIAL_SECONDS
        return now >= until

    def end_of_hold(
        self, task: TaskId, losses: Sequence[RunLoss], is_lasting: bool
    ) -> float:
        """Return until when a suspect waits for news, on the monotonic clock."""
        until = self.held_until[task]
        if is_lasting and has_used_up_starts(losses):
            until += LAST_HOLD_SECONDS - LASTING_HOLD_SECONDS
        return until

    def remove(self, task: TaskId) -> None:
        """Remove a task that is no suspect any more."""
        self.held_until.pop(task, None)
        for upstream in list(self._tasks_by_upstream):
            self.remove_loss(task, upstream)

    def remove_loss(self, task: TaskId, upstream: str) -> None:
        """Remove the loss of a task's run with one upstream."""
        tasks = self._tasks_by_upstream.get(upstream, set())
        tasks.discard(task)
        if not tasks:
            self._tasks_by_upstream.pop(upstream, None)

    def remove_job(self, job_id: str) -> None:
        """Remove all tasks of a job."""
        for task in [task for task in self.held_until if task.job == job_id]:
            self.remove(task)

    def tasks_lost_with(self, upstream: str) -> list[TaskId]:
        """Return the tasks that lost a run with an upstream."""
        return sorted(self._tasks_by_upstream.get(upstream, ()))

    def upstreams(self) -> list[str]:
        """Return the upstreams with which runs were lost."""
        return list(self._tasks_by_upstream)
