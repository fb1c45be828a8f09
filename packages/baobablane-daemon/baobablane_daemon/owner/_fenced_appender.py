"""Append records to one topic under the owner's epoch."""

import asyncio
import math
from collections.abc import Callable

from baobablane_platform import (
    KeyedRecord,
    Producer,
    StoreClient,
    StoreRejectedError,
    StoreUnknownOutcomeError,
)

from ..jobs import AppendForecast, append_repeatedly, boot_seconds

PRODUCER_NAME = "owner"
APPEND_RETRY_SECONDS = 0.05
# An append that has no response by then may have been sent over a connection that
# carries nothing any more. The store rejects what would wait for longer than 2 s.
ATTEMPT_TIMEOUT_SECONDS = 2.5
# More than are sent in that time.
MAX_ATTEMPTS_AT_ONCE = 16


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
        self._forecast = AppendForecast(is_only_writer=True)
        self._lock = asyncio.Lock()
        # When the first and the latest attempt failed since an append was stored, while
        # no other was open; None if none has.
        self._failing_since: float | None = None
        self._failed_at: float | None = None
        self._open_attempts = 0

    def failing_for(self) -> float:
        """Return for how many seconds all attempts have failed; zero if none has.

        An attempt without a response does not count as failed, nor do repetitions of
        it: a store with a long queue rejects those, and stores the attempt later.
        """
        if self._failing_since is None or self._failed_at is None:
            return 0.0
        return self._failed_at - self._failing_since

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
        async def send(seconds: float) -> None:
            self._open_attempts += 1
            try:
                await self._store.append(
                    self._topic,
                    0,
                    records,
                    producer,
                    min(seconds, ATTEMPT_TIMEOUT_SECONDS),
                )
            except (StoreRejectedError, StoreUnknownOutcomeError):
                if self._open_attempts == 1:
                    self._failed_at = boot_seconds()
                    if self._failing_since is None:
                        self._failing_since = self._failed_at
                raise
            finally:
                self._open_attempts -= 1

        while True:
            try:
                requested_at = await append_repeatedly(
                    send, self._forecast, math.inf, MAX_ATTEMPTS_AT_ONCE
                )
            except StoreRejectedError:
                await asyncio.sleep(APPEND_RETRY_SECONDS)
            else:
                self._failing_since = self._failed_at = None
                self._on_stored(requested_at)
                return
