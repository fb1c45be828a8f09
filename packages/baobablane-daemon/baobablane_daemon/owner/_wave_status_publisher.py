"""Publish for operators whether maintenance waves are complete.

Load pattern: for some seconds, the store answers no append to the topic of statuses, or
takes 60 times as long. Operators can wait for a status, but tasks that could be placed
can't.
"""

import asyncio

from baobablane_platform import (
    STATUS_TOPIC,
    WAVE_KEY_PREFIX,
    KeyedRecord,
    StoreClient,
    encode_wave_status,
)

from ._fenced_appender import FencedAppender


class WaveStatusPublisher:
    """Append the latest status of each wave, one append after the other."""

    def __init__(self, store: StoreClient, epoch: int) -> None:
        """Start without statuses; they are appended only by `run`."""
        self._appender = FencedAppender(store, STATUS_TOPIC, epoch, 0)
        self._unsent: dict[int, bool] = {}
        self._wake = asyncio.Event()

    def publish(self, wave: int, is_complete: bool) -> None:
        """Publish the status of a wave whose progress is recorded."""
        self._unsent[wave] = is_complete
        self._wake.set()

    async def run(self) -> None:
        """Append until cancelled, or raise StoreFencedError or StoreSequenceError."""
        while True:
            await self._wake.wait()
            self._wake.clear()
            statuses, self._unsent = self._unsent, {}
            await self._appender.append(
                [
                    KeyedRecord(
                        f"{WAVE_KEY_PREFIX}{wave}", encode_wave_status(is_complete)
                    )
                    for wave, is_complete in statuses.items()
                ]
            )
