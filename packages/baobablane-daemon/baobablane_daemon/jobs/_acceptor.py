"""Write accepted jobs and cancellations to the store."""

import asyncio

from baobablane_platform import (
    KeyedRecord,
    StoreClient,
    StoreError,
    StoreUnknownError,
)

from ._views import JOBS_TOPIC

# One append takes some milliseconds of the partition, whatever it holds.
MOST_RECORDS = 200


class Acceptor:
    """Own the appends of jobs: one at a time, each as large as it can be."""

    def __init__(self, store: StoreClient) -> None:
        """Start with nothing to write."""
        self._store = store
        self._waiting: list[tuple[KeyedRecord, asyncio.Future[None]]] = []
        self._wake = asyncio.Event()

    async def write(self, record: KeyedRecord) -> None:
        """Return once a record is stored, or raise a StoreError."""
        future = asyncio.get_running_loop().create_future()
        self._waiting.append((record, future))
        self._wake.set()
        await future

    async def run(self) -> None:
        """Append until cancelled."""
        while True:
            await self._wake.wait()
            self._wake.clear()
            while self._waiting:
                batch = self._waiting[:MOST_RECORDS]
                del self._waiting[:MOST_RECORDS]
                await self._append(batch)

    async def _append(
        self, batch: "list[tuple[KeyedRecord, asyncio.Future[None]]]"
    ) -> None:
        error: StoreError | None = None
        try:
            await self._store.append(JOBS_TOPIC, 0, [record for record, _ in batch])
        except StoreError as failure:
            error = failure
        except asyncio.CancelledError:
            error = StoreUnknownError("stopped during an append")
            raise
        finally:
            for _, future in batch:
                if future.done():
                    continue
                if error is None:
                    future.set_result(None)
                else:
                    future.set_exception(error)
