"""Write the owner's records, fenced by its epoch."""

import asyncio

from baobablane.jobs import JobProgress, encode_progress
from baobablane_platform import (
    KeyedRecord,
    Producer,
    StoreClient,
    StoreRefusedError,
    StoreUnknownError,
)

from ..jobs import PROGRESS_TOPIC

PRODUCER = "owner"
RETRY_SECONDS = 0.05
# Well below the store's bound of a call, with room for the framing.
MOST_BYTES = 1_000_000


class ProgressWriter:
    """Own the sequence of the owner's appends; one is under way at a time."""

    def __init__(self, store: StoreClient, epoch: int) -> None:
        """Write under an epoch that no earlier owner had."""
        self._store = store
        self._epoch = epoch
        self._sequence = 0

    async def fence(self) -> None:
        """Refuse the appends of earlier owners from now on."""
        await self._append([])

    async def write(self, progress_by_job: dict[str, JobProgress]) -> None:
        """Return once all is stored; raise StoreFencedError after a newer owner."""
        batch: list[KeyedRecord] = []
        size = 0
        for job_id, progress in progress_by_job.items():
            record = KeyedRecord(job_id, encode_progress(progress))
            batch.append(record)
            size += len(record.value or b"")
            if size > MOST_BYTES:
                await self._append(batch)
                batch, size = [], 0
        if batch:
            await self._append(batch)

    async def _append(self, records: list[KeyedRecord]) -> None:
        # A repeated sequence number gets the first answer again, so an append whose
        # answer was lost is settled by sending it again.
        producer = Producer(PRODUCER, self._epoch, self._sequence)
        while True:
            try:
                await self._store.append(PROGRESS_TOPIC, 0, records, producer)
                break
            except (StoreRefusedError, StoreUnknownError):
                await asyncio.sleep(RETRY_SECONDS)
        if records:
            self._sequence += 1
