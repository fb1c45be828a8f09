"""Track which records are kept until their retention is over."""

from collections import deque

# Factor on the time for which a job's state must stay available, as a safety margin.
RETENTION_FACTOR = 1.5
# Maximum number of ids whose records are deleted in one append.
MAX_IDS_PER_DELETION = 100


class RetentionQueue:
    """Queue the ids of jobs in the order in which they were added."""

    def __init__(self, state_retention_seconds: float) -> None:
        """Keep each id for RETENTION_FACTOR times `state_retention_seconds`."""
        self._retention_seconds = RETENTION_FACTOR * state_retention_seconds
        self._ids: set[str] = set()
        self._queue: deque[tuple[float, str]] = deque()

    def add(self, job_id: str, now: float) -> None:
        """Add an id unless it is queued; `now` is in seconds of a monotonic clock."""
        if job_id not in self._ids:
            self._ids.add(job_id)
            self._queue.append((now, job_id))

    def __contains__(self, job_id: object) -> bool:
        """Return whether an id was added and not returned by `pop_due` yet."""
        return job_id in self._ids

    def pop_due(self, now: float) -> list[str]:
        """Remove and return ids whose records may be deleted now."""
        due: list[str] = []
        while self._queue and len(due) < MAX_IDS_PER_DELETION:
            added_at, job_id = self._queue[0]
            if now - added_at < self._retention_seconds:
                break
            self._queue.popleft()
            self._ids.discard(job_id)
            due.append(job_id)
        return due
