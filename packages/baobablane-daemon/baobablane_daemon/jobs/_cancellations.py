"""Cancel jobs, also those that the store does not have yet."""

import asyncio

from baobablane.admission import (
    early_cancellation_limit,
    may_keep_early_cancellation,
)
from baobablane.errors import RejectedError, ResultCode
from baobablane.jobs import JobState, encode_cancellation
from baobablane_platform import (
    CallerWait,
    KeyedRecord,
    StoreError,
    StoreRejectedError,
)

from ..decision_log import Decision, DecisionLog
from ._clock import boot_seconds
from ._job_queries import JobQueries, catch_up_until
from ._job_writer import JobWriter
from ._record_write import APPEND_SHARE, write_record
from ._store_health import find_store_fault, store_silence
from ._view_limits import RETRY_AFTER_SECONDS
from ._views import CANCEL_PREFIX, Views

# The owner decides on a cancellation within about 0.2 s, and narrow links show that up
# to 0.4 s later. Without an owner, it takes seconds, for which callers don't wait.
CANCEL_DECISION_SECONDS = 0.5
DECISION_CHECK_SECONDS = 0.02


class Cancellations:
    """Store cancellations, and await the owner's decision on each."""

    def __init__(
        self,
        views: Views,
        job_writer: JobWriter,
        queries: JobQueries,
        log: DecisionLog,
        memory_mb: float,
    ) -> None:
        """Prepare to cancel; `memory_mb` is what the process may use."""
        self._views = views
        self._job_writer = job_writer
        self._queries = queries
        self._log = log
        self._max_early = early_cancellation_limit(memory_mb)

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
        reason = (
            f"the job is {state.name.lower()}" if state is not None else "no such job"
        )
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
        limit = self._max_early
        if not self._job_writer.is_writing(CANCEL_PREFIX + job_id) and not (
            self._job_writer.can_defer()
            and may_keep_early_cancellation(counts, account, limit)
        ):
            reason = f"{counts.total()} cancellations of unknown jobs, at most {limit}"
            code = ResultCode.CANCELLATIONS_FULL
            raise self._make_error(code, job_id, reason)
        await self._store_cancellation(job_id, wait, account, is_early=True)
        try:
            # An append of the job may have been carried out before this one.
            await catch_up_until(self._views.jobs_tail, wait.until(APPEND_SHARE))
        except (StoreError, TimeoutError) as error:
            code, reason = ResultCode.ACCEPTANCE_UNKNOWN, f"stored, but {error!r}"
            raise self._make_error(code, job_id, reason) from error

    async def _store_cancellation(
        self, job_id: str, wait: CallerWait, account: str, is_early: bool = False
    ) -> None:
        record = KeyedRecord(CANCEL_PREFIX + job_id, encode_cancellation(account))
        reason = find_store_fault(self._views, self._job_writer.forecast)
        if reason and not self._job_writer.is_writing(record.key):
            code = ResultCode.LOG_UNAVAILABLE
            raise self._make_error(code, job_id, reason)
        try:
            await write_record(self._job_writer, record, wait, is_early)
        except StoreRejectedError as error:
            code = ResultCode.LOG_UNAVAILABLE
            raise self._make_error(code, job_id, str(error)) from error
        except (StoreError, TimeoutError) as error:
            code = ResultCode.ACCEPTANCE_UNKNOWN
            raise self._make_error(code, job_id, repr(error)) from error
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

    def _make_error(self, code: ResultCode, job_id: str, reason: str) -> RejectedError:
        is_unsure = code is ResultCode.ACCEPTANCE_UNKNOWN
        self._log.write(
            Decision(
                "cancel-unsure" if is_unsure else "cancel-refused",
                request=job_id,
                reason=reason,
                result=int(code),
                seconds=store_silence(self._views),
            )
        )
        return RejectedError(code, "", 0.0 if is_unsure else RETRY_AFTER_SECONDS)
