"""Carry out callers' requests: submit, query and cancel jobs."""

import math
from collections.abc import Callable

from baobablane.deployment import Configuration, Queue
from baobablane.errors import RejectedError, ResultCode
from baobablane.jobs import (
    Job,
    JobState,
    ShownCount,
    ShownState,
    encode_job,
)
from baobablane_platform import (
    CallerAccess,
    CallerWait,
    KeyedRecord,
    ProcessSettings,
    StoreError,
    StoreRejectedError,
)

from .._message_meter import DEFAULT_MAX_HEAD_BYTES
from ..decision_log import Decision, DecisionLog
from ._cancellations import Cancellations
from ._denials import MAX_LOGGED_CHARACTERS, Denials
from ._job_queries import JobQueries
from ._job_writer import JobWriter
from ._load_rejection import LoadRejection
from ._record_write import write_record
from ._store_health import find_store_fault, store_silence
from ._view_limits import (
    MAX_SILENCE_SECONDS,
    RETRY_AFTER_SECONDS,
)
from ._views import Views

# Covers the time from reading the view's age to the answer, and the error of the clock.
KEY_MARGIN_SECONDS = 0.8
# Covers the error of the clock.
CONFIGURATION_MARGIN_SECONDS = 0.2


class JobActions:
    """Answer queries from the views, and store jobs and cancellations."""

    def __init__(
        self,
        settings: ProcessSettings,
        views: Views,
        job_writer: JobWriter,
        log: DecisionLog,
    ) -> None:
        """Prepare to serve requests, which is possible once the views are read."""
        self._max_key_view_age_seconds = (
            settings.limits.key_withdrawal_seconds - KEY_MARGIN_SECONDS
        )
        # Until a view is older than this, no configuration that it lacks is due.
        self._max_configuration_age_seconds = (
            settings.limits.configuration_seconds - CONFIGURATION_MARGIN_SECONDS
        )
        self._max_record_bytes = settings.limits.max_record_bytes
        self._views = views
        self._job_writer = job_writer
        self._log = log
        self._load_rejection = LoadRejection(views, job_writer, log)
        self._queries = JobQueries(views, log)
        self._cancellations = Cancellations(
            views, job_writer, self._queries, log, settings.memory_mb
        )
        self._denials = Denials(views, log)
        self.is_stopping = False

    def is_ready(self) -> bool:
        """Return whether new callers should be routed to this instance."""
        views = self._views
        return (
            not self.is_stopping
            and views.has_read_all()
            and store_silence(self._views) <= MAX_SILENCE_SECONDS
            and views.operator_tail.age() < self._max_configuration_age_seconds
        )

    def max_head_bytes(self) -> int:
        """Return the size of the largest head that a request may have.

        A configuration can raise it, but not lower it: while a new one spreads, callers
        may still go by the one before.
        """
        configuration = self._views.configuration
        if configuration is None:
            return DEFAULT_MAX_HEAD_BYTES
        return max(configuration.max_head_bytes, DEFAULT_MAX_HEAD_BYTES)

    def configuration(
        self, target: str, checks_keys: bool, accepts_job: bool
    ) -> Configuration:
        """Return the configuration in force, or raise RejectedError.

        With `checks_keys`, reject requests also if the view is too old to show whether
        a key was withdrawn, and with `accepts_job`, if a newer configuration may be
        due. `target`, the host and path of the request, is logged.
        """
        configuration = self._views.configuration
        if configuration is None:
            raise self._denials.make_not_ready(target)
        max_age_seconds = min(
            self._max_key_view_age_seconds if checks_keys else math.inf,
            self._max_configuration_age_seconds if accepts_job else math.inf,
        )
        if self._views.operator_tail.age() > max_age_seconds:
            raise self._denials.make_unsure(target)
        return configuration

    async def authorize(
        self,
        find: Callable[[], CallerAccess | RejectedError],
        target: str,
        wait: CallerWait,
    ) -> CallerAccess:
        """Return what the configuration allows a request, or raise RejectedError.

        `find` returns that by the configuration in force, or the error with which it
        denies the request; a denial counts only by what was stored when the request
        arrived, or later. `target`, the host and path of the request, is logged.
        """
        return await self._denials.decide(find, target, wait)

    async def submit(self, job: Job, queue: Queue, wait: CallerWait) -> None:
        """Store a job unless it is already known, or raise RejectedError.

        With the code ACCEPTANCE_UNKNOWN, the job may be stored; otherwise it is not.
        """
        if self._is_known(job, queue):
            return
        reason = find_store_fault(self._views, self._job_writer.forecast)
        if reason:
            raise self._make_store_rejection(job, queue, reason)
        await self._load_rejection.check(job, queue)
        if self._is_known(job, queue):
            return
        record = KeyedRecord(job.id, encode_job(job))
        if record.size_bytes() > self._max_record_bytes:
            # The store would reject it together with the other records of its append.
            detail = f"the job takes {record.size_bytes()} bytes to store"
            self._log_decision("job-refused", job, queue.name, detail)
            raise RejectedError(ResultCode.BODY_TOO_LARGE, detail)
        try:
            with self._log.metrics.accept_seconds.time():
                await write_record(self._job_writer, record, wait)
        except StoreRejectedError as error:
            raise self._make_store_rejection(job, queue, str(error)) from error
        except (StoreError, TimeoutError) as error:
            self._load_rejection.add_unsure(job.id)
            self._log_decision("job-unsure", job, queue.name, repr(error))
            raise RejectedError(ResultCode.ACCEPTANCE_UNKNOWN) from error
        if self._views.job_table.accept(job):
            self._views.on_change(job.id)
        self._log_decision("job-accepted", job, queue.name)

    def _is_known(self, job: Job, queue: Queue) -> bool:
        """Return whether a job is stored; raise RejectedError if it was cancelled.

        A job that was cancelled before it was stored never runs, so it is not accepted.
        """
        table = self._views.job_table
        if job.id in table.jobs_by_id:
            self._log_decision("job-known", job, queue.name)
            return True
        if job.id in table.cancelled:
            detail = "the job was cancelled before it was submitted"
            self._log_decision("job-refused", job, queue.name, detail)
            raise RejectedError(ResultCode.CANCELLED, detail)
        return False

    def _make_store_rejection(
        self, job: Job, queue: Queue, reason: str
    ) -> RejectedError:
        """Log that a job was not stored now; return the error for its caller.

        An earlier append of the job that was given up may still be carried out. Then
        nobody can say that it will not run.
        """
        if self._load_rejection.may_be_stored(job.id):
            self._log_decision("job-unsure", job, queue.name, reason)
            return RejectedError(ResultCode.ACCEPTANCE_UNKNOWN)
        self._log_decision("job-refused", job, queue.name, reason)
        return RejectedError(ResultCode.LOG_UNAVAILABLE, "", RETRY_AFTER_SECONDS)

    async def state(self, job_id: str, wait: CallerWait) -> ShownState | None:
        """Return a job's state, or None if the job certainly does not exist.

        It has an age if the store has been unreachable for long. Raise RejectedError
        if the view is too old to tell.
        """
        return await self._queries.state(job_id, wait)

    async def cancel(
        self, job_id: str, wait: CallerWait, account: str = ""
    ) -> JobState | None:
        """Cancel a job for an account; return its state, or None if there is no job.

        Raise RejectedError if that can't be told, or the cancellation can't be stored;
        with the code ACCEPTANCE_UNKNOWN, it may be stored.
        """
        return await self._cancellations.cancel(job_id, wait, account)

    async def pending_count(self, queue: str, wait: CallerWait) -> ShownCount:
        """Return how many of a queue's jobs are pending, except periodic ones.

        The number has an age if the store has been unreachable for long. Raise
        RejectedError if the jobs or their states are too old to tell.
        """
        return await self._queries.pending_count(queue, wait)

    def report_error(self, error: Exception, path: str) -> None:
        """Log an unexpected error in a request."""
        self._log.error("request-failed", error, path=path[:MAX_LOGGED_CHARACTERS])

    def reject_body(
        self, target: str, size_bytes: int, seconds: float
    ) -> RejectedError:
        """Log that the body of a request did not arrive; return the error for it."""
        code = ResultCode.BODY_TOO_SLOW
        detail = f"{size_bytes} bytes of the body arrived in {seconds:.1f} s"
        self._log.write(
            Decision(
                "body-too-slow",
                reason=f"{detail}: {target[:MAX_LOGGED_CHARACTERS]}",
                result=int(code),
                seconds=seconds,
            )
        )
        return RejectedError(code, detail)

    def _log_decision(self, event: str, job: Job, queue: str, reason: str = "") -> None:
        self._log.write(
            Decision(
                event,
                request=job.id,
                team=job.account,
                queue=queue,
                reason=reason,
                seconds=store_silence(self._views),
            )
        )
