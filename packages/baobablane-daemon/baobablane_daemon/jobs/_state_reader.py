"""Register an entry instance that follows the states of jobs."""

import asyncio

from baobablane_platform import KeyedRecord, StoreError

from ..decision_log import DecisionLog
from ._job_writer import JobWriter
from ._view_limits import MAX_SILENCE_SECONDS
from ._views import STATE_READER_PREFIX, Views

RETRY_SECONDS = 0.3


async def register_state_reader(
    instance: str, views: Views, job_writer: JobWriter, log: DecisionLog
) -> None:
    """Ask the owner to publish the states of jobs, if this instance follows them.

    The record is kept by the store, so that later owners know it.
    """
    if views.follows_progress:
        return
    record = KeyedRecord(STATE_READER_PREFIX + instance, b"1")
    while True:
        # An append that is sent while the store is away is without a response for
        # seconds after its return, and jobs are rejected for as long.
        while views.jobs_tail.silence() > MAX_SILENCE_SECONDS:
            await asyncio.sleep(RETRY_SECONDS)
        try:
            await job_writer.write(record)
            return
        except StoreError as error:
            log.info("reader-unregistered", reason=str(error))
            await asyncio.sleep(RETRY_SECONDS)
