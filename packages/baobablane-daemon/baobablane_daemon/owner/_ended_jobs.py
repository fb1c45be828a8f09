"""Remember which jobs have ended, until their records are dropped."""

from collections import deque

# Beyond the time for which a state must be known, as a factor.
KEPT_FACTOR = 1.5
# How many jobs are dropped at once.
MOST_DROPPED = 100


class EndedJobs:
    """Hold ended jobs in the order in which this owner saw their end."""

    def __init__(self, state_kept_seconds: float) -> None:
        """Keep each job for longer than its state must be known."""
        self._kept_seconds = KEPT_FACTOR * state_kept_seconds
        self._ids: set[str] = set()
        self._queue: deque[tuple[float, str]] = deque()

    def add(self, job_id: str, now: float) -> None:
        """Note that a job's end is recorded."""
        if job_id not in self._ids:
            self._ids.add(job_id)
            self._queue.append((now, job_id))

    def __contains__(self, job_id: object) -> bool:
        """Return whether a job has ended."""
        return job_id in self._ids

    def take_due(self, now: float) -> list[str]:
        """Return jobs whose records may be dropped now."""
        due: list[str] = []
        while self._queue and len(due) < MOST_DROPPED:
            ended_at, job_id = self._queue[0]
            if now - ended_at < self._kept_seconds:
                break
            self._queue.popleft()
            self._ids.discard(job_id)
            due.append(job_id)
        return due
