"""Write the owner's records, fenced by its epoch."""

import asyncio
from collections.abc import Mapping

from baobablane_platform import (
    STATUS_TOPIC,
    WAVE_KEY_PREFIX,
    KeyedRecord,
    Producer,
    StoreClient,
    StoreRefusedError,
    StoreUnknownError,
    encode_wave_status,
)

from ..jobs import OWNER_KEY, PROGRESS_TOPIC, boot_seconds

PRODUCER = "owner"
RETRY_SECONDS = 0.05
# Instances that stand for owner only when none is heard for 3 s hear it three times.
BEAT_SECONDS = 0.8
# A calm answer takes some 10 ms; one of a slow store may take a second or two.
FIRST_TIMEOUT_SECONDS = 0.25
LAST_TIMEOUT_SECONDS = 2.5
# Well below the store's bound of a call, with room for the framing.
MOST_BYTES = 1_000_000


class ProgressWriter:
    """Own the sequence of the owner's appends; one is under way at a time."""

    def __init__(self, store: StoreClient, epoch: int) -> None:
        """Write under an epoch that no earlier owner had."""
        self._store = store
        self._epoch = epoch
        self._sequence = 0
        self._status_sequence = 0
        self._lock = asyncio.Lock()
        self._written_at = float("-inf")

    async def fence(self) -> None:
        """Refuse the appends of earlier owners from now on."""
        await self._append([])

    async def write(self, values_by_key: Mapping[str, bytes | None]) -> None:
        """Return once all is stored; raise StoreFencedError after a newer owner.

        A key without a value is dropped.
        """
        batch: list[KeyedRecord] = []
        size = 0
        for key, value in values_by_key.items():
            batch.append(KeyedRecord(key, value))
            size += len(value or b"")
            if size > MOST_BYTES:
                await self._append(batch)
                batch, size = [], 0
        if batch:
            await self._append(batch)

    async def beat(self) -> None:
        """Show that there is an owner, unless a record has just shown it."""
        if boot_seconds() - self._written_at > BEAT_SECONDS:
            await self.write({OWNER_KEY: str(self._epoch).encode()})

    async def write_wave_status(self, wave: int, is_complete: bool) -> None:
        """Show operators a wave's status; an owner that was replaced writes none."""
        record = KeyedRecord(
            f"{WAVE_KEY_PREFIX}{wave}", encode_wave_status(is_complete)
        )
        producer = Producer(PRODUCER, self._epoch, self._status_sequence)
        await self._append_until_stored(STATUS_TOPIC, [record], producer)
        self._status_sequence += 1

    async def _append(self, records: list[KeyedRecord]) -> None:
        # A repeated sequence number gets the first answer again, so an append whose
        # answer was lost is settled by sending it again.
        async with self._lock:
            producer = Producer(PRODUCER, self._epoch, self._sequence)
            await self._append_until_stored(PROGRESS_TOPIC, records, producer)
            if records:
                self._sequence += 1
                self._written_at = boot_seconds()

    async def _append_until_stored(
        self, topic: str, records: list[KeyedRecord], producer: Producer
    ) -> None:
        timeout_seconds = FIRST_TIMEOUT_SECONDS
        while True:
            try:
                await self._store.append(topic, 0, records, producer, timeout_seconds)
                return
            except StoreRefusedError:
                await asyncio.sleep(RETRY_SECONDS)
            except StoreUnknownError:
                timeout_seconds = min(2 * timeout_seconds, LAST_TIMEOUT_SECONDS)
