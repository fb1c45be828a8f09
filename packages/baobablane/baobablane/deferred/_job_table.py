"""Fold the stream of deferred jobs."""

from collections.abc import Iterator, Sequence
from dataclasses import dataclass

from ..log import LogRecord
from ._record import (
    Accepted,
    Claimed,
    DeferredRecord,
    Finished,
    JobCopy,
    decode_record,
)


@dataclass(slots=True)
class DeferredJobState:
    """Hold a job, its claim and what became of it."""

    accepted: Accepted | None = None
    claim: Claimed | None = None
    finished: Finished | None = None
    # The log's time, in seconds since the epoch, of the record that keeps it.
    retained_at: float = 0.0
    # Records that say whether it ran may have expired.
    may_have_run: bool = False


class DeferredJobTable:
    """Hold every job that the log keeps."""

    def __init__(self, retention_seconds: float) -> None:
        """Forget finished jobs after `retention_seconds`."""
        self._retention_seconds = retention_seconds
        self._by_id: dict[str, DeferredJobState] = {}
        self._first_offset = 0
        self.next_offset = 0

    def get(self, job: str) -> DeferredJobState | None:
        """Return a job, None where the log keeps none of that name."""
        return self._by_id.get(job)

    def skip_to(self, first_offset: int) -> None:
        """Note that the log no longer holds the records before an offset."""
        if first_offset > self.next_offset:
            self.next_offset = first_offset
            self._first_offset = first_offset

    def feed(self, records: Sequence[LogRecord]) -> list[DeferredRecord]:
        """Fold records in order and return those that decode."""
        folded: list[DeferredRecord] = []
        for record in records:
            if record.offset < self.next_offset:
                continue
            self.next_offset = record.offset + 1
            decoded = decode_record(record.payload)
            if decoded is not None:
                self._apply(decoded, record.appended_at)
                folded.append(decoded)
        return folded

    def unfinished(self) -> Iterator[tuple[str, DeferredJobState]]:
        """Yield the jobs that have no outcome, oldest first."""
        for job_id, job in self._by_id.items():
            if job.accepted is not None and job.finished is None:
                yield job_id, job

    def due_copies(self, log_time: float) -> list[JobCopy]:
        """Return the records that keep jobs from expiring, as of a log's time."""
        copied_before = log_time - self._retention_seconds / 3
        return [
            JobCopy(job.accepted, job.claim, self.next_offset)
            for _, job in self.unfinished()
            if job.accepted is not None and job.retained_at < copied_before
        ]

    def remove_expired(self, log_time: float) -> None:
        """Drop outcomes that are older than the retention."""
        expired_before = log_time - self._retention_seconds
        for job_id, job in list(self._by_id.items()):
            if job.finished is not None and job.retained_at < expired_before:
                del self._by_id[job_id]

    def _apply(self, record: DeferredRecord, appended_at: float) -> None:
        match record:
            case Accepted():
                job = self._by_id.setdefault(record.job, DeferredJobState())
                if job.accepted is None:
                    job.accepted = record
                    job.retained_at = appended_at
            case Claimed():
                self._apply_claim(record)
            case Finished():
                job = self._by_id.setdefault(record.job, DeferredJobState())
                if job.finished is None:
                    job.finished = record
                    job.retained_at = appended_at
            case JobCopy():
                self._apply_copy(record, appended_at)

    def _apply_claim(self, record: Claimed) -> None:
        job = self._by_id.get(record.job)
        if job is None or job.finished is not None:
            return
        current_claim_id = "" if job.claim is None else job.claim.id
        if current_claim_id == record.replaces:
            job.claim = record

    def _apply_copy(self, record: JobCopy, appended_at: float) -> None:
        job = self._by_id.get(record.accepted.job)
        if job is not None and job.accepted is not None:
            job.retained_at = appended_at
            return
        if job is None:
            job = DeferredJobState()
            self._by_id[record.accepted.job] = job
        job.accepted = record.accepted
        job.claim = job.claim or record.claim
        job.retained_at = appended_at
        # Between the fold carried and the oldest record kept it may have run.
        job.may_have_run = record.next_offset < self._first_offset
