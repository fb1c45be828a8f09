"""Fold the stream of deferred jobs into the state of each job."""

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
    """Store a job, its current claim and its outcome."""

    accepted: Accepted | None = None
    claim: Claimed | None = None
    finished: Finished | None = None
    # When the log appended the record that retains the job, in seconds since the
    # Unix epoch.
    retained_at: float = 0.0
    # Set if records that would show whether the job ran may have expired.
    may_have_run: bool = False


class DeferredJobTable:
    """Store every job that the log retains."""

    def __init__(self, retention_seconds: float) -> None:
        """Use the log's retention time, in seconds, to schedule copies and expiry."""
        self._retention_seconds = retention_seconds
        self._by_id: dict[str, DeferredJobState] = {}
        self._first_offset = 0
        self.next_offset = 0

    def get(self, job: str) -> DeferredJobState | None:
        """Return a job, or None if the log retains no job with that ID."""
        return self._by_id.get(job)

    def skip_to(self, first_offset: int) -> None:
        """Skip the expired records before the log's first offset."""
        if first_offset > self.next_offset:
            self.next_offset = first_offset
            self._first_offset = first_offset

    def feed(self, records: Sequence[LogRecord]) -> list[DeferredRecord]:
        """Apply records in order and return those that decode."""
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
        """Yield the IDs and states of jobs without an outcome, oldest first."""
        for job_id, job in self._by_id.items():
            if job.accepted is not None and job.finished is None:
                yield job_id, job

    def due_copies(self, log_time: float) -> list[JobCopy]:
        """Return the copies due at a Unix time, so that no unfinished job expires."""
        copied_before = log_time - self._retention_seconds / 3
        return [
            JobCopy(job.accepted, job.claim, self.next_offset)
            for _, job in self.unfinished()
            if job.accepted is not None and job.retained_at < copied_before
        ]

    def remove_expired(self, log_time: float) -> None:
        """Remove jobs whose outcome, at a Unix time, is older than the retention."""
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
        # If records that the copy's writer had not read have expired, one of them may
        # have shown that the job ran.
        job.may_have_run = record.next_offset < self._first_offset
