"""Carry out callers' requests: submit, query and cancel jobs."""

import asyncio
import math
from collections.abc import Callable

from baobablane.admission import (
    early_cancellation_limit,
    may_keep_early_cancellation,
)
from baobablane.deployment import Configuration, Queue
from baobablane.errors import RejectedError, ResultCode
from baobablane.jobs import (
    Job,
    JobState,
    ShownCount,
    ShownState,
    encode_cancellation,
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
from ._append_forecast import MAX_ACCEPT_SECONDS
from ._clock import boot_seconds
from ._denials import MAX_LOGGED_CHARACTERS, Denials
from ._job_queries import JobQueries, catch_up_until
from ._job_writer import JobWriter
from ._load_rejection import LoadRejection
from ._view_limits import (
    MAX_SILENCE_SECONDS,
    RETRY_AFTER_SECONDS,
)
from ._views import CANCEL_PREFIX, Views

# Covers the time from reading the view's age to the answer, and the error of the clock.
KEY_MARGIN_SECONDS = 0.8
# Covers the error of the clock.
CONFIGURATION_MARGIN_SECONDS = 0.2
# Replaces MAX_SILENCE_SECONDS once an append had no response in time: a read usually
# takes 0.7 s at most.
MAX_SILENCE_AFTER_TIMEOUT_SECONDS = 0.9
# The share of a caller's wait after which an append is no longer waited for. It is
# longer than that of a query: an append that is given up early is repeated at another
# instance, and waits there for the same partition.
APPEND_SHARE = 0.8
# The owner decides on a cancellation within about 0.2 s, and narrow links show that up
# to 0.4 s later. Without an owner, it takes seconds, for which callers don't wait.
CANCEL_DECISION_SECONDS = 0.5
DECISION_CHECK_SECONDS = 0.02


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
        self._early_cancellation_limit = early_cancellation_limit(settings.memory_mb)
        self._views = views
        self._job_writer = job_writer
        self._log = log
        self._load_rejection = LoadRejection(views, job_writer, log)
        self._queries = JobQueries(views, log)
        self._denials = Denials(views, log)
        self.is_stopping = False

    def is_ready(self) -> bool:
        """Return whether new callers should be routed to this instance."""
        views = self._views
        return (
            not self.is_stopping
            and views.has_read_all()
            and self._store_silence() <= MAX_SILENCE_SECONDS
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
        reason = self._find_store_fault()
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
                await self._write(record, wait)
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

    def _store_silence(self) -> float:
        """Return the seconds since a followed topic last brought data, the longest.

        Readiness and acceptance use the same figure, so an instance that isn't ready
        stores no jobs.
        """
        views = self._views
        return max(views.operator_tail.silence(), views.jobs_tail.silence())

    def _find_store_fault(self) -> str:
        """Return why a record can't be stored in time, or an empty string if it can."""
        forecast, now = self._job_writer.forecast, boot_seconds()
        silence = self._store_silence()
        max_silence_seconds = (
            MAX_SILENCE_AFTER_TIMEOUT_SECONDS
            if forecast.has_timed_out(now)
            else MAX_SILENCE_SECONDS
        )
        if silence > max_silence_seconds:
            return "the store is unreachable"
        seconds = forecast.accept_seconds(now)
        if seconds > MAX_ACCEPT_SECONDS:
            return f"the store would take {seconds:.1f} s to accept it"
        return ""

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

        Only the owner's record decides whether the job was cancelled or had ended
        before. If that record takes long, the state is not final yet, although the
        cancellation is stored. A job in a final state is left unchanged. The append of
        an unknown job may be carried out later, so its cancellation is stored as well.
        Raise RejectedError if the state can't be read or the cancellation can't be
        stored; with the code ACCEPTANCE_UNKNOWN, it may be stored.
        """
        decide_until = boot_seconds() + CANCEL_DECISION_SECONDS
        shown = await self._queries.state(job_id, wait)
        if shown is not None and shown.state.is_final():
            return shown.state
        if job_id not in self._views.job_table.cancelled:
            if shown is None:
                await self._store_early_cancellation(job_id, wait, account)
            else:
                await self._store_cancellation(job_id, wait, account)
        state = await self._await_decision(job_id, decide_until)
        reason = f"the job is {state.name.lower()}" if state else "no such job"
        self._log.write(
            Decision("cancellation-confirmed", request=job_id, reason=reason)
        )
        return state

    async def _store_early_cancellation(
        self, job_id: str, wait: CallerWait, account: str
    ) -> None:
        """Store the cancellation of an unknown job, and read if a job came before it.

        Raise RejectedError at once if too many are kept or wait to be stored.
        """
        counts = self._views.job_table.early_cancellations.count_by_account
        limit = self._early_cancellation_limit
        if not self._job_writer.is_writing(CANCEL_PREFIX + job_id) and not (
            self._job_writer.can_defer()
            and may_keep_early_cancellation(counts, account, limit)
        ):
            reason = f"{counts.total()} cancellations of unknown jobs, at most {limit}"
            code = ResultCode.CANCELLATIONS_FULL
            raise self._make_cancel_error(code, job_id, reason)
        await self._store_cancellation(job_id, wait, account, is_early=True)
        try:
            # An append of the job may have been carried out before this one.
            await catch_up_until(self._views.jobs_tail, wait.until(APPEND_SHARE))
        except (StoreError, TimeoutError) as error:
            code, reason = ResultCode.ACCEPTANCE_UNKNOWN, f"stored, but {error!r}"
            raise self._make_cancel_error(code, job_id, reason) from error

    async def _store_cancellation(
        self, job_id: str, wait: CallerWait, account: str, is_early: bool = False
    ) -> None:
        record = KeyedRecord(CANCEL_PREFIX + job_id, encode_cancellation(account))
        reason = self._find_store_fault()
        if reason and not self._job_writer.is_writing(record.key):
            code = ResultCode.LOG_UNAVAILABLE
            raise self._make_cancel_error(code, job_id, reason)
        try:
            await self._write(record, wait, is_early)
        except StoreRejectedError as error:
            code = ResultCode.LOG_UNAVAILABLE
            raise self._make_cancel_error(code, job_id, str(error)) from error
        except (StoreError, TimeoutError) as error:
            code = ResultCode.ACCEPTANCE_UNKNOWN
            raise self._make_cancel_error(code, job_id, repr(error)) from error
        if self._views.job_table.cancel(job_id, account):
            self._views.on_change(job_id)

    async def _await_decision(self, job_id: str, until: float) -> JobState | None:
        """Return a job's state once it is final or the time is over.

        The followed topics bring the owner's record, so this makes no call.
        """
        state = self._views.job_table.state(job_id)
        while state is not None and not state.is_final() and boot_seconds() < until:
            await asyncio.sleep(DECISION_CHECK_SECONDS)
            state = self._views.job_table.state(job_id)
        return state

    async def _write(
        self, record: KeyedRecord, wait: CallerWait, is_deferred: bool = False
    ) -> None:
        """Store a record, or raise a StoreError or TimeoutError.

        After a TimeoutError, it is still written.
        """
        # The failure of a write from before the request says nothing about the store
        # now, but its record may be stored.
        is_repeated = self._job_writer.is_writing(record.key)
        async with asyncio.timeout_at(wait.until(APPEND_SHARE)):
            try:
                await self._job_writer.write(record, is_deferred)
            except StoreError as error:
                if not is_repeated:
                    raise
                await self._write_again(record, is_deferred, error)

    async def _write_again(
        self, record: KeyedRecord, is_deferred: bool, earlier: StoreError
    ) -> None:
        try:
            await self._job_writer.write(record, is_deferred)
        except StoreRejectedError as error:
            raise earlier from error

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

    def _make_cancel_error(
        self, code: ResultCode, job_id: str, reason: str
    ) -> RejectedError:
        is_unsure = code is ResultCode.ACCEPTANCE_UNKNOWN
        self._log.write(
            Decision(
                "cancel-unsure" if is_unsure else "cancel-refused",
                request=job_id,
                reason=reason,
                result=int(code),
                seconds=self._store_silence(),
            )
        )
        return RejectedError(code, "", 0.0 if is_unsure else RETRY_AFTER_SECONDS)

    def _log_decision(self, event: str, job: Job, queue: str, reason: str = "") -> None:
        self._log.write(
            Decision(
                event,
                request=job.id,
                team=job.account,
                queue=queue,
                reason=reason,
                seconds=self._store_silence(),
            )
        )
