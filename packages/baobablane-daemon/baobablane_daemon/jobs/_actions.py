"""Carry out callers' requests: submit, query and cancel jobs."""

import asyncio
import math

from baobablane.deployment import Configuration, Queue
from baobablane.errors import RejectedError, ResultCode
from baobablane.jobs import Job, JobState, encode_job
from baobablane_platform import (
    KeyedRecord,
    ProcessSettings,
    StoreError,
    StoreRejectedError,
)

from ..decision_log import Decision, DecisionLog
from ._append_forecast import MAX_ACCEPT_SECONDS
from ._clock import boot_seconds
from ._job_writer import JobWriter
from ._load_rejection import LoadRejection
from ._views import CANCEL_PREFIX, Views

# Covers the time from reading the view's age to the answer, and the error of the clock.
KEY_MARGIN_SECONDS = 0.8
# Covers the error of the clock.
CONFIGURATION_MARGIN_SECONDS = 0.2
# A read takes at most 0.45 s unless its response is large, so the age of a view is at
# most 0.9 s, or 1.2 s for states between queries. A view that is older than this may
# lack what others have read.
MAX_VIEW_AGE_SECONDS = 1.3
# If nothing arrives for longer than this, the store is unreachable, and callers should
# use other instances.
MAX_SILENCE_SECONDS = 1.3
# The same, once an append had no response in time: a read usually takes 0.7 s at most.
MAX_SILENCE_AFTER_TIMEOUT_SECONDS = 0.9
# Callers choose host and path, so the part of them that is logged is limited.
MAX_LOGGED_CHARACTERS = 200
# Callers wait for 3 s, so after a rejection they have time to try another instance.
CATCH_UP_TIMEOUT_SECONDS = 1.0
# A read of states takes about 20 ms, and 0.1 s over a link that is in use. Without its
# result, the answer comes from a view that is at most 1.3 s old.
STATE_READ_TIMEOUT_SECONDS = 0.3
# The owner decides on a cancellation within about 0.2 s, and narrow links show that up
# to 0.4 s later. Without an owner, it takes seconds, for which callers don't wait.
CANCEL_DECISION_SECONDS = 0.5
DECISION_CHECK_SECONDS = 0.02
# A fault of the store, or of the connection to it, lasts for seconds at least.
RETRY_AFTER_SECONDS = 1.0


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
            raise self._make_denial(ResultCode.NOT_READY, target, math.inf)
        max_age_seconds = min(
            self._max_key_view_age_seconds if checks_keys else math.inf,
            self._max_configuration_age_seconds if accepts_job else math.inf,
        )
        age = self._views.operator_tail.age()
        if age > max_age_seconds:
            raise self._make_denial(ResultCode.VIEW_NOT_CONFIRMED, target, age)
        return configuration

    def deny(self, code: ResultCode, target: str) -> RejectedError:
        """Return the error for a request that the configuration doesn't allow.

        A newer configuration may allow it. So unless the view was confirmed recently,
        the error is VIEW_NOT_CONFIRMED, after which callers try again. `target`, the
        host and path of the request, is logged.
        """
        age = self._views.operator_tail.age()
        if age > MAX_VIEW_AGE_SECONDS:
            code = ResultCode.VIEW_NOT_CONFIRMED
        return self._make_denial(code, target, age)

    def _make_denial(self, code: ResultCode, target: str, age: float) -> RejectedError:
        configuration = self._views.configuration
        version = configuration.version if configuration else None
        self._log.write(
            Decision(
                "request-denied",
                reason=f"{target[:MAX_LOGGED_CHARACTERS]}, version {version}",
                result=int(code),
                seconds=age,
            )
        )
        if code is ResultCode.VIEW_NOT_CONFIRMED:
            detail = f"the configuration's view is {age:.1f} s old"
            return RejectedError(code, detail, RETRY_AFTER_SECONDS)
        if code is ResultCode.NOT_READY:
            return RejectedError(code, "", RETRY_AFTER_SECONDS)
        return RejectedError(code, target)

    async def submit(self, job: Job, queue: Queue) -> None:
        """Store a job unless it is already known, or raise RejectedError.

        With the code ACCEPTANCE_UNKNOWN, the job may be stored; otherwise it is not.
        """
        if job.id in self._views.job_table.jobs_by_id:
            self._log_decision("job-known", job, queue.name)
            return
        reason = self._find_store_fault()
        if reason:
            # Nothing is sent to the store, so the job certainly will not run.
            self._log_decision("job-refused", job, queue.name, reason)
            raise RejectedError(ResultCode.LOG_UNAVAILABLE, "", RETRY_AFTER_SECONDS)
        await self._load_rejection.check(job, queue)
        if job.id in self._views.job_table.jobs_by_id:
            self._log_decision("job-known", job, queue.name)
            return
        record = KeyedRecord(job.id, encode_job(job))
        if record.size_bytes() > self._max_record_bytes:
            # The store would reject it together with the other records of its append.
            detail = f"the job takes {record.size_bytes()} bytes to store"
            self._log_decision("job-refused", job, queue.name, detail)
            raise RejectedError(ResultCode.BODY_TOO_LARGE, detail)
        try:
            with self._log.metrics.accept_seconds.time():
                await self._job_writer.write(record)
        except StoreRejectedError as error:
            self._log_decision("job-refused", job, queue.name, str(error))
            raise RejectedError(
                ResultCode.LOG_UNAVAILABLE, "", RETRY_AFTER_SECONDS
            ) from error
        except StoreError as error:
            self._load_rejection.add_unsure(job.id)
            self._log_decision("job-unsure", job, queue.name, str(error))
            raise RejectedError(ResultCode.ACCEPTANCE_UNKNOWN) from error
        if self._views.job_table.accept(job):
            self._views.on_change(job.id)
        self._log_decision("job-accepted", job, queue.name)

    def _store_silence(self) -> float:
        """Return the seconds since a followed topic last brought data, the longest.

        Readiness and acceptance use the same figure, so an instance that isn't ready
        stores no jobs.
        """
        views = self._views
        return max(views.operator_tail.silence(), views.jobs_tail.silence())

    def _find_store_fault(self) -> str:
        """Return why a job can't be stored in time, or an empty string if it can."""
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

    async def state(self, job_id: str) -> JobState | None:
        """Return a job's state, or None if the job certainly does not exist.

        Raise RejectedError if the view is too old to tell.
        """
        state = self._views.job_table.state(job_id)
        if state is None:
            await self._catch_up()
            state = self._views.job_table.state(job_id)
        if state is not None and not state.is_final():
            state = await self._refresh_state(job_id, state)
        if state is not None and not state.is_final():
            age = self._views.state_view.age()
            if age > MAX_VIEW_AGE_SECONDS:
                detail = f"the view of jobs is {age:.1f} s old"
                raise RejectedError(
                    ResultCode.VIEW_NOT_CONFIRMED, detail, RETRY_AFTER_SECONDS
                )
        return state

    async def _refresh_state(self, job_id: str, state: JobState) -> JobState | None:
        """Return a job's state as stored now, or the known one if that takes long."""
        if self._views.follows_progress:
            # This view is read without a break, so it is as new as a read of its own.
            return state
        try:
            async with asyncio.timeout(STATE_READ_TIMEOUT_SECONDS):
                await self._views.state_view.catch_up()
        except (StoreError, TimeoutError) as error:
            self._log.info("state-read-skipped", request=job_id, reason=repr(error))
        return self._views.job_table.state(job_id)

    async def cancel(self, job_id: str) -> JobState | None:
        """Cancel a job; return its state, or None if it certainly does not exist.

        Only the owner's record decides whether the job was cancelled or had ended
        before. If that record takes long, the state is not final yet, although the
        cancellation is stored. A job in a final state is left unchanged. Raise
        RejectedError if the state can't be read or the cancellation can't be stored;
        with the code ACCEPTANCE_UNKNOWN, it may be stored.
        """
        decide_until = boot_seconds() + CANCEL_DECISION_SECONDS
        state = await self.state(job_id)
        if state is None or state.is_final():
            return state
        if job_id not in self._views.job_table.cancelled:
            await self._store_cancellation(job_id)
        state = await self._await_decision(job_id, decide_until)
        reason = f"the job is {state.name.lower()}" if state is not None else "deleted"
        self._log.write(
            Decision("cancellation-confirmed", request=job_id, reason=reason)
        )
        return state

    async def _store_cancellation(self, job_id: str) -> None:
        try:
            await self._job_writer.write(KeyedRecord(CANCEL_PREFIX + job_id, b"1"))
        except StoreRejectedError as error:
            raise RejectedError(
                ResultCode.LOG_UNAVAILABLE, "", RETRY_AFTER_SECONDS
            ) from error
        except StoreError as error:
            raise RejectedError(ResultCode.ACCEPTANCE_UNKNOWN) from error
        if self._views.job_table.cancel(job_id):
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

    def pending_count(self, queue: str) -> int:
        """Return how many of a queue's jobs are pending, except periodic ones."""
        return self._views.job_table.pending_count(queue)

    def report_error(self, error: Exception, path: str) -> None:
        """Log an unexpected error in a request."""
        self._log.error("request-failed", error, path=path[:MAX_LOGGED_CHARACTERS])

    async def _catch_up(self) -> None:
        try:
            async with asyncio.timeout(CATCH_UP_TIMEOUT_SECONDS):
                await self._views.jobs_tail.catch_up()
        except (StoreError, TimeoutError) as error:
            raise RejectedError(
                ResultCode.VIEW_NOT_CONFIRMED, "", RETRY_AFTER_SECONDS
            ) from error

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
