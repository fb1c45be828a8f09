"""Append records to one topic under the owner's epoch."""

import asyncio
from collections.abc import Callable

from baobablane_platform import (
    KeyedRecord,
    Producer,
    StoreClient,
    StoreRejectedError,
    StoreUnknownOutcomeError,
)

from ..jobs import boot_seconds

PRODUCER_NAME = "owner"
APPEND_RETRY_SECONDS = 0.05
# A response usually takes about 10 ms, and 1 to 2 s while the store is slow.
INITIAL_TIMEOUT_SECONDS = 0.25
MAX_TIMEOUT_SECONDS = 2.5
# Timeouts grow slowly, so that others don't claim after three lost responses in a row.
TIMEOUT_GROWTH_FACTOR = 1.5


class FencedAppender:
    """Append to partition 0 of a topic in sequence, one append at a time."""

    def __init__(
        self,
        store: StoreClient,
        topic: str,
        epoch: int,
        sequence: int,
        on_stored: Callable[[float], None] = lambda requested_at: None,
    ) -> None:
        """Start with the append numbered `sequence`.

        `on_stored` is called with the monotonic time at which a stored append was sent.
        """
        self._store = store
        self._topic = topic
        self._epoch = epoch
        self._sequence = sequence
        self._on_stored = on_stored
        self._lock = asyncio.Lock()

    async def append(self, records: list[KeyedRecord]) -> None:
        """Store records, and retry until stored.

        Raise StoreFencedError if there is a newer owner, or StoreSequenceError if the
        store expects another sequence number.
        """
        # The store responds to a repeated sequence number as it did before, so a retry
        # resolves the unknown outcome of an append whose response was lost.
        async with self._lock:
            producer = Producer(PRODUCER_NAME, self._epoch, self._sequence)
            await self._append_until_stored(records, producer)
            self._sequence += 1

    async def _append_until_stored(
        self, records: list[KeyedRecord], producer: Producer
    ) -> None:
        timeout_seconds = INITIAL_TIMEOUT_SECONDS
        while True:
            requested_at = boot_seconds()
            try:
                await self._store.append(
                    self._topic, 0, records, producer, timeout_seconds
                )
                self._on_stored(requested_at)
                return
            except StoreRejectedError:
                await asyncio.sleep(APPEND_RETRY_SECONDS)
            except StoreUnknownOutcomeError:
                timeout_seconds = min(
                    TIMEOUT_GROWTH_FACTOR * timeout_seconds, MAX_TIMEOUT_SECONDS
                )
                # The error may occur immediately, not only after the timeout.
                await asyncio.sleep(APPEND_RETRY_SECONDS)
