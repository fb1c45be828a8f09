"""Store a record within a share of its caller's wait."""

import asyncio

from baobablane_platform import (
    CallerWait,
    KeyedRecord,
    StoreError,
    StoreRejectedError,
)

from ._job_writer import JobWriter

# The share of a caller's wait after which an append is no longer waited for. It is
# longer than that of a query: an append that is given up early is repeated at another
# instance, and waits there for the same partition.
APPEND_SHARE = 0.8


async def write_record(
    job_writer: JobWriter,
    record: KeyedRecord,
    wait: CallerWait,
    is_deferred: bool = False,
) -> None:
    """Store a record, or raise a StoreError or TimeoutError.

    After a TimeoutError, it is still written. `is_deferred` is that of the writer.
    """
    # The failure of a write from before the request says nothing about the store now,
    # but its record may be stored.
    is_repeated = job_writer.is_writing(record.key)
    async with asyncio.timeout_at(wait.until(APPEND_SHARE)):
        try:
            await job_writer.write(record, is_deferred)
        except StoreError as error:
            if not is_repeated:
                raise
            await _write_again(job_writer, record, is_deferred, error)


async def _write_again(
    job_writer: JobWriter, record: KeyedRecord, is_deferred: bool, earlier: StoreError
) -> None:
    try:
        await job_writer.write(record, is_deferred)
    except StoreRejectedError as error:
        raise earlier from error
