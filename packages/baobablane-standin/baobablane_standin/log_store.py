"""Hold the streams of the stand-in log."""

import asyncio
from collections import deque

from baobablane.log import LogPage, LogRecord

MAX_PAGE_RECORDS = 1000


class LogStream:
    """Hold one stream's records for a limited time."""

    def __init__(self, retention_seconds: float) -> None:
        """Start empty; records older than `retention_seconds` expire."""
        self._retention_seconds = retention_seconds
        self._records: deque[LogRecord] = deque()
        self._next_offset = 0
        self._changed = asyncio.Event()

    def append(self, payloads: list[str], now: float) -> list[int]:
        """Append records and return their offsets."""
        offsets = list(range(self._next_offset, self._next_offset + len(payloads)))
        for offset, payload in zip(offsets, payloads, strict=True):
            self._records.append(LogRecord(offset, now, payload))
        self._next_offset += len(payloads)
        self._changed.set()
        self._changed = asyncio.Event()
        return offsets

    def read(self, start: int, now: float) -> LogPage:
        """Return the records from an offset on."""
        self.drop_expired(now)
        first = self._next_offset - len(self._records)
        skipped = max(0, start - first)
        records = tuple(self._records)[skipped : skipped + MAX_PAGE_RECORDS]
        return LogPage(first, self._next_offset, records)

    def drop_expired(self, now: float) -> None:
        """Drop the records past their retention."""
        oldest_kept = now - self._retention_seconds
        while self._records and self._records[0].appended_at < oldest_kept:
            self._records.popleft()

    def drop_before(self, offset: int) -> None:
        """Expire all records before an offset at once."""
        while self._records and self._records[0].offset < offset:
            self._records.popleft()

    async def wait_for_record(self, start: int, seconds: float) -> None:
        """Return when there is a record at an offset, or after a time."""
        if start < self._next_offset:
            return
        try:
            async with asyncio.timeout(seconds):
                await self._changed.wait()
        except TimeoutError:
            return
