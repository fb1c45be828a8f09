"""Track the tasks whose runs were lost soon after their start."""

from ..jobs import TaskId

# A task with several lost runs waits this long, from the latest, for the news whether
# those upstreams crashed. The time doubles with each further loss, up to the maximum.
HOLD_SECONDS = 10.0
MAX_HOLD_SECONDS = 60.0
# The same for a long-running task, which is wanted all the time. Some instances never
# return, so the news may never come.
LASTING_HOLD_SECONDS = 5.0


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
        lost_at: float,
        losses: int,
        is_lasting: bool,
    ) -> None:
        """Add a run lost at a monotonic time, of a task with `losses` lost runs."""
        first_seconds = LASTING_HOLD_SECONDS if is_lasting else HOLD_SECONDS
        seconds = min(first_seconds * 2 ** max(0, losses - 2), MAX_HOLD_SECONDS)
        self.held_until[task] = max(self.held_until.get(task, 0.0), lost_at + seconds)
        self._tasks_by_upstream.setdefault(upstream, set()).add(task)

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
