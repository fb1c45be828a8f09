"""Store the streams of the stand-in log in memory."""

import asyncio
from collections import deque

from baobablane.log import LogPage, LogRecord

MAX_PAGE_RECORDS = 1000


class LogStream:
    """Store the records of one stream for a limited time."""

    def __init__(self, retention_seconds: float) -> None:
        """Start empty; records expire after `retention_seconds`."""
        self._retention_seconds = retention_seconds
        self._records: deque[LogRecord] = deque()
        self._next_offset = 0
        self._changed = asyncio.Event()

    def append(self, payloads: list[str], now: float) -> list[int]:
        """Append records at Unix time `now` and return their offsets."""
        offsets = list(range(self._next_offset, self._next_offset + len(payloads)))
        for offset, payload in zip(offsets, payloads, strict=True):
            self._records.append(LogRecord(offset, now, payload))
        self._next_offset += len(payloads)
        self._changed.set()
        self._changed = asyncio.Event()
        return offsets

    def read(self, start: int, now: float) -> LogPage:
        """Return a page of at most MAX_PAGE_RECORDS records from an offset on."""
        self.drop_expired(now)
        first = self._next_offset - len(self._records)
        skipped = max(0, start - first)
        records = tuple(self._records)[skipped : skipped + MAX_PAGE_RECORDS]
        return LogPage(first, self._next_offset, records)

    def drop_expired(self, now: float) -> None:
        """Drop the records that are older than the retention time."""
        oldest_kept = now - self._retention_seconds
        while self._records and self._records[0].appended_at < oldest_kept:
            self._records.popleft()

    def drop_before(self, offset: int) -> None:
        """Drop all records before an offset, whatever their age."""
        while self._records and self._records[0].offset < offset:
            self._records.popleft()

    async def wait_for_record(self, start: int, seconds: float) -> None:
        """Wait up to `seconds` for the next append if an offset has no record yet."""
        if start < self._next_offset:
            return
        try:
            async with asyncio.timeout(seconds):
                await self._changed.wait()
        except TimeoutError:
            return
