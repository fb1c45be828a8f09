"""Collect the jobs, cancellations and progress that are read from the store."""

from collections.abc import Iterator

from ._early_cancellations import EarlyCancellations
from ._job import Job
from ._job_state import JobState
from ._progress import JobProgress


class JobTable:
    """Hold all jobs; their records may be applied in any order.

    Progress or a cancellation may thus arrive before its job. A cancellation is what a
    caller wants; whether the job ended before it is decided by its progress.
    """

    def __init__(self) -> None:
        """Start without jobs."""
        self.jobs_by_id: dict[str, Job] = {}
        self.progress_by_id: dict[str, JobProgress] = {}
        # States from records of their own; progress may be unknown or older.
        self.state_by_id: dict[str, JobState] = {}
        self.cancelled: set[str] = set()
        # Those of `cancelled` that no job is known of.
        self.early_cancellations = EarlyCancellations()
        self._pending_by_queue: dict[str, set[str]] = {}

    def accept(self, job: Job) -> bool:
        """Add a job and return whether it is new; a known job stays unchanged."""
        if job.id in self.jobs_by_id:
            return False
        self.jobs_by_id[job.id] = job
        self.early_cancellations.discard(job.id)
        if not job.is_periodic():
            self._pending_by_queue.setdefault(job.queue, set()).add(job.id)
            self._discard_unless_pending(job.id)
        return True

    def cancel(self, job_id: str, account: str = "") -> bool:
        """Record a cancellation and return whether it is new.

        `account` has asked for it; that counts as long as the job is unknown.
        """
        if job_id in self.cancelled:
            return False
        self.cancelled.add(job_id)
        if job_id not in self.jobs_by_id:
            self.early_cancellations.add(job_id, account)
        self._discard_unless_pending(job_id)
        return True

    def remove_cancellation(self, job_id: str) -> None:
        """Remove a cancellation whose record was deleted; the job, if any, stays."""
        self.cancelled.discard(job_id)
        self.early_cancellations.discard(job_id)

    def set_progress(self, job_id: str, progress: JobProgress) -> None:
        """Replace a job's progress."""
        self.progress_by_id[job_id] = progress
        self._discard_unless_pending(job_id)

    def set_state(self, job_id: str, state: JobState) -> None:
        """Set a job's state as read from a record of its own."""
        self.state_by_id[job_id] = state
        self._discard_unless_pending(job_id)

    def remove_state(self, job_id: str) -> None:
        """Remove a job's state whose record was deleted."""
        self.state_by_id.pop(job_id, None)

    def remove(self, job_id: str) -> None:
        """Remove a job whose record was deleted; an unknown job is ignored."""
        job = self.jobs_by_id.pop(job_id, None)
        self.state_by_id.pop(job_id, None)
        self.progress_by_id.pop(job_id, None)
        self.remove_cancellation(job_id)
        if job is not None:
            self._pending_by_queue.get(job.queue, set()).discard(job_id)

    def state(self, job_id: str) -> JobState | None:
        """Return a job's state, or None for an unknown job.

        The job itself may still be unread if its state is final.
        """
        progress = self.progress_by_id.get(job_id)
        # States only advance, so the greater one is the newer.
        state = max(
            progress.state if progress else JobState.PENDING,
            self.state_by_id.get(job_id, JobState.PENDING),
        )
        if job_id not in self.jobs_by_id:
            # The records of jobs are large. Only a final state stays true whatever
            # those that are unread contain.
            return state if state.is_final() else None
        return state

    def pending_count(self, queue: str) -> int:
        """Return the number of a queue's pending jobs, except periodic ones."""
        return len(self._pending_by_queue.get(queue, ()))

    def unfinished(self) -> Iterator[Job]:
        """Yield the jobs whose state is not final."""
        for job_id, job in self.jobs_by_id.items():
            state = self.state(job_id)
            if state is not None and not state.is_final():
                yield job

    def _discard_unless_pending(self, job_id: str) -> None:
        job = self.jobs_by_id.get(job_id)
        if job is not None and (
            job_id in self.cancelled or self.state(job_id) is not JobState.PENDING
        ):
            self._pending_by_queue.get(job.queue, set()).discard(job_id)
