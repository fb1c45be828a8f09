"""Delete the records of jobs that ended long ago, and of cancellations without jobs.

Load pattern: for some seconds, the store answers no append to the topic of jobs, or
takes 60 times as long. Deletions can wait, but tasks that could be placed can't.
"""

import asyncio
from collections.abc import Awaitable, Callable

from baobablane_platform import (
    KeyedRecord,
    StoreClient,
    StoreError,
    StoreFencedError,
    StoreSequenceError,
)

from ..decision_log import DecisionLog
from ..jobs import CANCEL_PREFIX, JOBS_TOPIC, boot_seconds
from ._ownership import MAX_CONFIRMATION_AGE_SECONDS
from ._progress_writer import ProgressWriter
from ._retention_queue import RetentionQueue

# With MAX_IDS_PER_DELETION, a thousand jobs a second may end for good.
DELETION_INTERVAL_SECONDS = 0.1


class JobDeleter:
    """Write tombstones for the records of ended jobs, one append after the other."""

    def __init__(
        self,
        store: StoreClient,
        writer: ProgressWriter,
        ended: RetentionQueue,
        early_cancellations: RetentionQueue,
        is_known: Callable[[str], bool],
        log: DecisionLog,
        may_order: Callable[[float], bool],
    ) -> None:
        """Use the owner's store client and writer.

        Delete the jobs in `ended`, and the cancellations in `early_cancellations`
        unless `is_known` returns that their job has arrived, with which they end.
        `may_order` returns whether the ownership was confirmed in the last seconds.
        """
        self._store = store
        self._writer = writer
        self._ended = ended
        self._early_cancellations = early_cancellations
        self._is_known = is_known
        self._log = log
        self._may_order = may_order

    async def run(self) -> None:
        """Delete what is due until cancelled.

        Raise StoreFencedError if there is a newer owner, or StoreSequenceError if the
        store expects another sequence number.
        """
        while True:
            # The store doesn't fence tombstones of jobs, so that a newer owner could
            # not stop them.
            if self._may_order(MAX_CONFIRMATION_AGE_SECONDS):
                await self._delete_due(self._ended, self._delete_jobs)
                await self._delete_due(
                    self._early_cancellations, self._delete_cancellations
                )
            await asyncio.sleep(DELETION_INTERVAL_SECONDS)

    async def _delete_due(
        self, queue: RetentionQueue, delete: Callable[[list[str]], Awaitable[None]]
    ) -> None:
        """Delete the records that are due; requeue their ids if that fails.

        Requeued ids are due after another full retention.
        """
        due = queue.pop_due(boot_seconds())
        if not due:
            return
        try:
            await delete(due)
        except (StoreFencedError, StoreSequenceError):
            raise
        except StoreError as error:
            self._log.info("jobs-not-dropped", count=len(due), reason=str(error))
        except Exception as error:
            self._log.error("jobs-not-dropped", error, count=len(due))
        else:
            return
        now = boot_seconds()
        for job_id in due:
            queue.add(job_id, now)

    async def _delete_cancellations(self, job_ids: list[str]) -> None:
        records = [
            KeyedRecord(CANCEL_PREFIX + job_id, None)
            for job_id in job_ids
            if not self._is_known(job_id)
        ]
        if records:
            await self._store.append(JOBS_TOPIC, 0, records)

    async def _delete_jobs(self, job_ids: list[str]) -> None:
        records = [KeyedRecord(job_id, None) for job_id in job_ids]
        records += [KeyedRecord(CANCEL_PREFIX + job_id, None) for job_id in job_ids]
        # The job is deleted before its progress: a job without progress counts as new.
        await self._store.append(JOBS_TOPIC, 0, records)
        await self._writer.write(dict.fromkeys(job_ids))
        self._writer.states.delete(job_ids)
