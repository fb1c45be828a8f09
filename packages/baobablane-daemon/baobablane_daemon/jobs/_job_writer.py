"""Write accepted jobs and cancellations to the store."""

import asyncio

from baobablane_platform import (
    KeyedRecord,
    StoreClient,
    StoreError,
    StoreRejectedError,
    StoreUnknownOutcomeError,
)

from ._views import JOBS_TOPIC

# Records are batched: an append occupies the partition for some milliseconds, whatever
# its size.
MAX_RECORDS_PER_APPEND = 200
# Well below the limit of the store for one call, and 0.2 s over 10 Mbit/s. A single
# record may be larger.
MAX_BYTES_PER_APPEND = 256_000
# Maximum number of appends that wait for a response; more than one, so that a lost
# response delays only the records of its own append.
MAX_APPENDS_IN_FLIGHT = 8
# A response usually takes about 10 ms. A repeated record changes nothing, so an append
# without a response is retried soon, with increasing timeouts, within the 3 s that
# callers wait.
ATTEMPT_TIMEOUTS_SECONDS = (0.25, 0.6, 1.4)

# Typical time until a stored record is read back.
READ_BACK_SECONDS = 0.15


class JobWriter:
    """Append the records of jobs in batches that are as large as possible."""

    def __init__(self, store: StoreClient) -> None:
        """Start without records; they are appended only while `run` runs."""
        self._store = store
        self._unsent: list[KeyedRecord] = []
        self._futures_by_key: dict[str, asyncio.Future[None]] = {}
        self._wake = asyncio.Event()
        self._in_flight: set[asyncio.Task[None]] = set()

    async def write(self, record: KeyedRecord) -> None:
        """Write a record and return once it is stored, or raise a StoreError.

        StoreRejectedError means that the record is not stored, StoreUnknownOutcomeError
        that it may be.
        """
        future = self._futures_by_key.get(record.key)
        if future is None:
            future = asyncio.get_running_loop().create_future()
            self._futures_by_key[record.key] = future
            self._unsent.append(record)
            self._wake.set()
        await asyncio.shield(future)

    def confirm_stored(self, key: str) -> None:
        """Complete the write of a record that was read back, if it is still open."""
        self._complete_write(key, None)

    async def run(self) -> None:
        """Append waiting records until cancelled."""
        try:
            while True:
                await self._wake.wait()
                self._wake.clear()
                while self._unsent:
                    await self._start_append()
        finally:
            for task in self._in_flight:
                task.cancel()
            for key in list(self._futures_by_key):
                self._complete_write(
                    key,
                    StoreUnknownOutcomeError("the process stopped during the append"),
                )

    async def _start_append(self) -> None:
        if len(self._in_flight) >= MAX_APPENDS_IN_FLIGHT:
            await asyncio.wait(self._in_flight, return_when=asyncio.FIRST_COMPLETED)
        batch = _take_batch(self._unsent)
        task = asyncio.get_running_loop().create_task(self._append(batch))
        self._in_flight.add(task)
        task.add_done_callback(self._in_flight.discard)

    async def _append(self, batch: list[KeyedRecord]) -> None:
        error: StoreError | None = None
        may_be_stored = False
        for seconds in ATTEMPT_TIMEOUTS_SECONDS:
            try:
                await self._store.append(JOBS_TOPIC, 0, batch, None, seconds)
                error = None
                break
            except StoreRejectedError as failure:
                error = failure
                if not may_be_stored:
                    break
            except StoreUnknownOutcomeError as failure:
                error = failure
                may_be_stored = True
                # The records may be read back in the meantime.
                await asyncio.sleep(READ_BACK_SECONDS)
                if not any(record.key in self._futures_by_key for record in batch):
                    return
            except Exception as failure:
                # Otherwise, the callers would wait for as long as they can.
                error = StoreUnknownOutcomeError(f"unexpected error: {failure!r}")
                may_be_stored = True
                break
        if error is not None and may_be_stored:
            error = StoreUnknownOutcomeError(f"append has unknown outcome: {error}")
        for record in batch:
            self._complete_write(record.key, error)

    def _complete_write(self, key: str, error: StoreError | None) -> None:
        future = self._futures_by_key.pop(key, None)
        if future is None or future.done():
            return
        if error is None:
            future.set_result(None)
        else:
            future.set_exception(error)
            # If the caller was cancelled, asyncio would otherwise log that nobody
            # retrieved the exception.
            future.exception()


def _take_batch(unsent: list[KeyedRecord]) -> list[KeyedRecord]:
    """Remove and return the records of the next append, at least one."""
    count = size_bytes = 0
    for record in unsent[:MAX_RECORDS_PER_APPEND]:
        size_bytes += len(record.key) + len(record.value or b"")
        if count and size_bytes > MAX_BYTES_PER_APPEND:
            break
        count += 1
    batch = unsent[:count]
    del unsent[:count]
    return batch
