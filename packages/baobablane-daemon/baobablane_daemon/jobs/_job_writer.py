"""Write accepted jobs and cancellations to the store."""

import asyncio

from baobablane_platform import (
    KeyedRecord,
    StoreClient,
    StoreError,
    StoreUnknownOutcomeError,
)

from ._append_forecast import MAX_ACCEPT_SECONDS, AppendForecast
from ._clock import boot_seconds
from ._repeated_append import append_repeatedly
from ._views import JOBS_TOPIC

# Records are batched: an append occupies the partition for some milliseconds, whatever
# its size.
MAX_RECORDS_PER_APPEND = 200
# Well below the limit of the store for one call, and 0.2 s over 10 Mbit/s. A single
# record may be larger.
MAX_BYTES_PER_APPEND = 256_000
# An append without a response, and its repetition.
MAX_ATTEMPTS_AT_ONCE = 4
# Records that can wait are appended at most this often, so that the writes of all entry
# instances stay below the limit of the store. One batch of them may wait.
DEFERRED_INTERVAL_SECONDS = 0.25
MAX_DEFERRED_RECORDS = MAX_RECORDS_PER_APPEND


class JobWriter:
    """Append the records of jobs in batches that are as large as possible.

    Deferred records wait for the next batch of their own, and delay no others.
    """

    def __init__(self, store: StoreClient) -> None:
        """Start without records; they are appended only while `run` runs."""
        self._store = store
        self.forecast = AppendForecast()
        self._unsent: list[KeyedRecord] = []
        self._futures_by_key: dict[str, asyncio.Future[None]] = {}
        self._wake = asyncio.Event()
        self._deferred_by_key: dict[str, KeyedRecord] = {}
        self._deferred_wake = asyncio.Event()
        self._in_flight: set[asyncio.Task[None]] = set()

    async def write(self, record: KeyedRecord, is_deferred: bool = False) -> None:
        """Write a record and return once it is stored, or raise a StoreError.

        StoreRejectedError means that the record is not stored, StoreUnknownOutcomeError
        that it may be. A deferred record goes with the others as soon as it is written
        again without `is_deferred`.
        """
        future = self._futures_by_key.get(record.key)
        if future is None:
            future = asyncio.get_running_loop().create_future()
            self._futures_by_key[record.key] = future
            if is_deferred:
                self._deferred_by_key[record.key] = record
                self._deferred_wake.set()
            else:
                self._send_soon(record)
        elif not is_deferred and record.key in self._deferred_by_key:
            self._send_soon(self._deferred_by_key.pop(record.key))
        await asyncio.shield(future)

    def can_defer(self) -> bool:
        """Return whether one more deferred record may wait."""
        return len(self._deferred_by_key) < MAX_DEFERRED_RECORDS

    def is_writing(self, key: str) -> bool:
        """Return whether the write of a record is open."""
        return key in self._futures_by_key

    def confirm_stored(self, key: str) -> None:
        """Complete the write of a record that was read back, if it is still open."""
        self._complete_write(key, None)

    async def run(self) -> None:
        """Append waiting records until cancelled."""
        try:
            async with asyncio.TaskGroup() as tasks:
                tasks.create_task(self._append_unsent())
                tasks.create_task(self._append_deferred())
        finally:
            for task in self._in_flight:
                task.cancel()
            for key in list(self._futures_by_key):
                self._complete_write(
                    key,
                    StoreUnknownOutcomeError("the process stopped during the append"),
                )

    def _send_soon(self, record: KeyedRecord) -> None:
        self._unsent.append(record)
        self._wake.set()

    async def _append_unsent(self) -> None:
        while True:
            await self._wake.wait()
            self._wake.clear()
            while self._unsent:
                await self._start_append()

    async def _append_deferred(self) -> None:
        """Append the deferred records, one batch after the other."""
        while True:
            await self._deferred_wake.wait()
            self._deferred_wake.clear()
            while self._deferred_by_key:
                batch = list(self._deferred_by_key.values())
                self._deferred_by_key.clear()
                await self._append(batch)
                await asyncio.sleep(DEFERRED_INTERVAL_SECONDS)

    async def _start_append(self) -> None:
        while len(self._in_flight) >= self.forecast.max_in_flight(boot_seconds()):
            await asyncio.wait(self._in_flight, return_when=asyncio.FIRST_COMPLETED)
        batch = _take_batch(self._unsent)
        task = asyncio.get_running_loop().create_task(self._append(batch))
        self._in_flight.add(task)
        task.add_done_callback(self._in_flight.discard)

    async def _append(self, batch: list[KeyedRecord]) -> None:
        error = await self._store_batch(batch)
        for record in batch:
            self._complete_write(record.key, error)

    async def _store_batch(self, batch: list[KeyedRecord]) -> StoreError | None:
        """Append until stored, rejected or too late; return the error, if any."""

        async def send(seconds: float) -> None:
            await self._store.append(JOBS_TOPIC, 0, batch, None, seconds)

        try:
            await append_repeatedly(
                send,
                self.forecast,
                MAX_ACCEPT_SECONDS,
                MAX_ATTEMPTS_AT_ONCE,
                lambda: any(record.key in self._futures_by_key for record in batch),
            )
        except StoreError as error:
            return error
        return None

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
