"""Track which jobs have ended until their records are deleted."""

from collections import deque

# Margin on the time for which a job's state must stay available.
RETENTION_FACTOR = 1.5
# Jobs whose records are deleted in one append.
MAX_JOBS_PER_DELETION = 100


class EndedJobs:
    """Queue ended jobs in the order in which this owner learned of them."""

    def __init__(self, state_retention_seconds: float) -> None:
        """Keep each job for longer than its state must stay available."""
        self._retention_seconds = RETENTION_FACTOR * state_retention_seconds
        self._ids: set[str] = set()
        self._queue: deque[tuple[float, str]] = deque()

    def add(self, job_id: str, now: float) -> None:
        """Add a job whose end is recorded."""
        if job_id not in self._ids:
            self._ids.add(job_id)
            self._queue.append((now, job_id))

    def __contains__(self, job_id: object) -> bool:
        """Return whether a job has ended."""
        return job_id in self._ids

    def pop_due(self, now: float) -> list[str]:
        """Remove and return jobs whose records may be deleted now."""
        due: list[str] = []
        while self._queue and len(due) < MAX_JOBS_PER_DELETION:
            ended_at, job_id = self._queue[0]
            if now - ended_at < self._retention_seconds:
                break
            self._queue.popleft()
            self._ids.discard(job_id)
            due.append(job_id)
        return due
