"""Answer queries for the states of jobs within a share of their callers' wait."""

import asyncio
import math

from baobablane.errors import RejectedError, ResultCode
from baobablane.jobs import JobState, ShownCount, ShownState
from baobablane_platform import CallerWait, StoreError, StoreRejectedError

from ..decision_log import Decision, DecisionLog
from ._paced_reads import PacedReads
from ._topic_tail import TopicTail
from ._view_limits import (
    MAX_SILENCE_SECONDS,
    MAX_VIEW_AGE_SECONDS,
    RETRY_AFTER_SECONDS,
)
from ._views import Views

# The share of a caller's wait after which a query ends, so that the caller has time to
# ask another instance.
QUERY_SHARE = 1 / 3
# A read of states takes about 20 ms, and 0.1 s over a link that is in use. Without its
# result, the answer comes from the view, unless that is too old.
STATE_READ_TIMEOUT_SECONDS = 0.3
# A caller that is rejected asks another instance. The balancer stops routing to an
# instance 2.3 s after it has ceased to be ready, unless no other one is ready, so
# callers that still come after that hardly have an instance that knows more.
DATED_AFTER_SILENCE_SECONDS = MAX_SILENCE_SECONDS + 2.3


class JobQueries:
    """Answer from the views, and read what they lack until a query's deadline."""

    def __init__(self, views: Views, log: DecisionLog) -> None:
        """Prepare to answer; the views are read by tasks of their own."""
        self._views = views
        self._log = log

    async def state(self, job_id: str, wait: CallerWait) -> ShownState | None:
        """Return a job's state, or None if the job certainly does not exist.

        It has an age if the store has been unreachable for long. Raise RejectedError
        if the view is too old to tell.
        """
        deadline = wait.until(QUERY_SHARE)
        state = self._views.job_table.state(job_id)
        if state is None:
            await self._read_jobs(job_id, deadline)
            state = self._views.job_table.state(job_id)
        if state is not None and not state.is_final():
            state = await self._refresh(job_id, state, deadline)
        if state is None:
            age = self._views.jobs_tail.age()
            self._log.write(Decision("job-unknown", request=job_id, seconds=age))
            return None
        if state.is_final():
            return ShownState(state)
        return ShownState(state, self._shown_age(self._views.state_view.age(), job_id))

    async def pending_count(self, queue: str, wait: CallerWait) -> ShownCount:
        """Return how many of a queue's jobs are pending, except periodic ones.

        The number has an age if the store has been unreachable for long. Raise
        RejectedError if the jobs or their states are too old to tell.
        """
        deadline = wait.until(QUERY_SHARE)
        # The jobs show which ones exist, and their states which ones have begun.
        tails = (self._views.jobs_tail, self._views.state_view)
        for tail in tails:
            if tail.age() > MAX_VIEW_AGE_SECONDS:
                await self._catch_up_or_log(tail, deadline, queue=queue)
        age = self._shown_age(max(tail.age() for tail in tails), queue=queue)
        return ShownCount(self._views.job_table.pending_count(queue), age)

    async def _read_jobs(self, job_id: str, deadline: float) -> None:
        tail = self._views.jobs_tail
        try:
            await catch_up_until(tail, deadline)
        except (StoreError, TimeoutError) as error:
            if self._views.job_table.state(job_id) is not None:
                # The read goes on, and a part of it was enough.
                return
            detail = "the jobs can't be read"
            reason = f"{detail}: {error!r}"
            raise self._make_rejection(job_id, detail, reason, tail.age()) from error

    async def _refresh(
        self, job_id: str, state: JobState, deadline: float
    ) -> JobState | None:
        """Return a job's state as stored now, or the known one if that takes long."""
        view = self._views.state_view
        seconds_left = MAX_VIEW_AGE_SECONDS - view.age()
        if self._views.follows_progress and seconds_left > 0:
            # This view is read without a break, so it is as new as a read of its own.
            return state
        if seconds_left > STATE_READ_TIMEOUT_SECONDS:
            read_until = asyncio.get_running_loop().time() + STATE_READ_TIMEOUT_SECONDS
            deadline = min(read_until, deadline)
        await self._catch_up_or_log(view, deadline, job_id)
        return self._views.job_table.state(job_id)

    async def _catch_up_or_log(
        self, tail: TopicTail, deadline: float, job_id: str = "", queue: str = ""
    ) -> None:
        """Read a topic to its end, unless that fails or takes until the deadline."""
        try:
            await catch_up_until(tail, deadline)
        except (StoreError, TimeoutError) as error:
            self._log.write(
                Decision(
                    "state-read-skipped",
                    request=job_id,
                    queue=queue,
                    reason=repr(error),
                )
            )

    def _shown_age(self, age: float, job_id: str = "", queue: str = "") -> float:
        """Return the age to show with what a view of that age tells, in seconds.

        Raise RejectedError if another instance may know more.
        """
        if age <= MAX_VIEW_AGE_SECONDS:
            return 0.0
        if math.isfinite(age) and self._is_store_lost():
            event = "state-dated" if job_id else "count-dated"
            self._log.write(Decision(event, request=job_id, queue=queue, seconds=age))
            return age
        detail = f"the view of jobs is {age:.1f} s old"
        raise self._make_rejection(job_id, detail, detail, age, queue)

    def _is_store_lost(self) -> bool:
        """Return whether this instance has long ceased to be ready."""
        views = self._views
        tails = (views.operator_tail, views.jobs_tail, views.state_view)
        return all(tail.is_lost(DATED_AFTER_SILENCE_SECONDS) for tail in tails)

    def _make_rejection(
        self, job_id: str, detail: str, reason: str, age: float, queue: str = ""
    ) -> RejectedError:
        """Log why a query is rejected; return the error with the detail for callers."""
        code = ResultCode.VIEW_NOT_CONFIRMED
        self._log.write(
            Decision(
                "query-rejected",
                request=job_id,
                queue=queue,
                reason=reason,
                result=int(code),
                seconds=age,
            )
        )
        return RejectedError(code, detail, RETRY_AFTER_SECONDS)


async def catch_up_until(tail: TopicTail | PacedReads, deadline: float) -> None:
    """Read a topic to its end, or raise a StoreError or TimeoutError.

    Raise StoreRejectedError at once if the store is known to be unreachable.
    """
    if tail.is_lost(MAX_SILENCE_SECONDS):
        raise StoreRejectedError("the store is unreachable")
    async with asyncio.timeout_at(deadline):
        await tail.catch_up()
