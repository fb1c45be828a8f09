"""Reject jobs whose results would be of no use, before anything is stored."""

import asyncio

from baobablane.admission import (
    Rejection,
    RejectionAudit,
    decide_rejection,
    describe_demand,
)
from baobablane.deployment import Queue
from baobablane.errors import RejectedError, ResultCode
from baobablane.jobs import Job
from baobablane_platform import StoreError

from ..decision_log import Decision, DecisionLog
from ._clock import boot_seconds, unix_ms
from ._job_writer import JobWriter
from ._owner_load import OwnerLoad
from ._views import Views

# A job that another instance has stored is known after one read, which takes about
# 20 ms. A rejection is not delayed for longer than this.
REJECTION_CHECK_TIMEOUT_SECONDS = 0.25
# More ids than appends of unknown outcome during the longest outage of the store.
MAX_UNSURE_IDS = 10_000


class LoadRejection:
    """Decide on rejections from the owner's load, and check them later."""

    def __init__(self, views: Views, job_writer: JobWriter, log: DecisionLog) -> None:
        """Start without rejections; the newest load record of the views is used."""
        self._views = views
        self._job_writer = job_writer
        self._log = log
        self._audit = RejectionAudit()
        # Jobs whose appends have an unknown outcome, in the order of the appends.
        self._unsure_ids: dict[str, None] = {}
        views.on_load = self._check_rejections

    async def check(self, job: Job, queue: Queue) -> None:
        """Raise RejectedError if the job's result would come too late to be of use.

        Nothing is sent to the store for a rejected job. A job that may already be
        stored is never rejected.
        """
        if self._decide_rejection(job, queue) is None or self.may_be_stored(job.id):
            return
        try:
            # A caller that got no answer may send its job again to this instance before
            # the view shows that another one has stored it.
            async with asyncio.timeout(REJECTION_CHECK_TIMEOUT_SECONDS):
                await self._views.jobs_tail.catch_up()
        except (StoreError, TimeoutError) as error:
            self._log.info("rejection-skipped", request=job.id, reason=repr(error))
            return
        rejection = self._decide_rejection(job, queue)
        if rejection is None or self.may_be_stored(job.id):
            return
        self._audit.add(rejection, boot_seconds())
        self._log.metrics.rejected_jobs.labels(rejection.pool).inc()
        self._log.write(
            Decision(
                "job-refused",
                request=job.id,
                team=job.account,
                queue=queue.name,
                reason="its result would be of no use",
                result=int(ResultCode.QUEUE_FULL),
                seconds=rejection.age_seconds,
                ahead_core_seconds=rejection.ahead_core_seconds,
                predicted_seconds=rejection.predicted_seconds,
                load_version=rejection.version,
                retry_after_seconds=rejection.retry_after_seconds,
            )
        )
        raise RejectedError(
            ResultCode.QUEUE_FULL,
            f"the job would take {rejection.predicted_seconds:.1f} s",
            rejection.retry_after_seconds,
        )

    def add_unsure(self, job_id: str) -> None:
        """Remember a job that may be stored, so that it is never rejected."""
        self._unsure_ids[job_id] = None
        if len(self._unsure_ids) > MAX_UNSURE_IDS:
            del self._unsure_ids[next(iter(self._unsure_ids))]

    def _decide_rejection(self, job: Job, queue: Queue) -> Rejection | None:
        load = self._views.owner_load
        if load is None:
            return None
        age = load.age_seconds(boot_seconds(), unix_ms())
        return decide_rejection(describe_demand(job, queue), load.summary, age)

    def may_be_stored(self, job_id: str) -> bool:
        """Return whether a job is stored, or an append of it may still be carried out.

        Only the appends of this process are known.
        """
        return (
            job_id in self._views.job_table.jobs_by_id
            or job_id in self._unsure_ids
            or self._job_writer.is_writing(job_id)
        )

    def _check_rejections(self, load: OwnerLoad) -> None:
        now = boot_seconds()
        age = load.age_seconds(now, unix_ms())
        for would_be_in_time in self._audit.settle(load.summary, age, now):
            self._log.metrics.count_checked_rejection(would_be_in_time)
