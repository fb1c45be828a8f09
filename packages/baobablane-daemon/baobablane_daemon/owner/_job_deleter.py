"""Delete the records of jobs that ended long ago."""

from baobablane_platform import KeyedRecord, StoreClient, StoreError

from ..decision_log import DecisionLog
from ..jobs import CANCEL_PREFIX, JOBS_TOPIC
from ._ended_jobs import EndedJobs
from ._progress_writer import ProgressWriter


class JobDeleter:
    """Write tombstones for the records of ended jobs."""

    def __init__(
        self,
        store: StoreClient,
        writer: ProgressWriter,
        ended: EndedJobs,
        log: DecisionLog,
    ) -> None:
        """Use the owner's store client and writer; `ended` holds the jobs to delete."""
        self._store = store
        self._writer = writer
        self._ended = ended
        self._log = log

    async def delete_due(self, now: float) -> None:
        """Delete the records that are due; requeue the jobs if that fails.

        Requeued jobs are due after another full retention. `now` is in seconds of the
        monotonic clock. Raise the errors of `ProgressWriter.write`.
        """
        due = self._ended.pop_due(now)
        if not due:
            return
        records = [KeyedRecord(job_id, None) for job_id in due]
        records += [KeyedRecord(CANCEL_PREFIX + job_id, None) for job_id in due]
        # The job is deleted before its progress: a job without progress counts as new.
        try:
            await self._store.append(JOBS_TOPIC, 0, records)
        except StoreError as error:
            self._log.info("jobs-not-dropped", count=len(due), reason=str(error))
            for job_id in due:
                self._ended.add(job_id, now)
            return
        await self._writer.write(dict.fromkeys(due))
        self._writer.states.delete(due)
