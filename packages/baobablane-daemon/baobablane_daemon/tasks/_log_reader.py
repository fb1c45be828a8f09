"""Read one stream of the platform's log continuously."""

import asyncio
from dataclasses import dataclass

from baobablane.errors import LogUnavailableError
from baobablane.log import LogPage
from baobablane_platform import LogClient

RETRY_DELAY_SECONDS = 0.25


@dataclass(frozen=True, slots=True)
class PageRead:
    """Report a page and the monotonic time in seconds at which it was requested."""

    stream: str
    requested_at: float
    page: LogPage


@dataclass(frozen=True, slots=True)
class ReadFailed:
    """Report that the log could not be read."""

    stream: str
    detail: str


class LogReaderTask:
    """Read a stream from its oldest record on and report each page to an inbox."""

    def __init__(
        self,
        client: LogClient,
        stream: str,
        inbox: "asyncio.Queue[object]",
        wait_seconds: float,
    ) -> None:
        """Start at the oldest record; when caught up, wait up to `wait_seconds`."""
        self._client = client
        self._stream = stream
        self._inbox = inbox
        self._wait_seconds = wait_seconds
        self._next_offset = 0
        self._caught_up = False

    async def run(self) -> None:
        """Read until cancelled."""
        while True:
            await self._read_once()

    async def _read_once(self) -> None:
        requested_at = asyncio.get_running_loop().time()
        wait_seconds = self._wait_seconds if self._caught_up else 0.0
        try:
            page = await self._client.read(
                self._stream, self._next_offset, wait_seconds
            )
        except LogUnavailableError as error:
            self._caught_up = False
            await self._inbox.put(ReadFailed(self._stream, error.detail))
            await asyncio.sleep(RETRY_DELAY_SECONDS)
            return
        if page.records:
            self._next_offset = page.records[-1].offset + 1
        else:
            self._next_offset = max(self._next_offset, page.first_offset)
        self._caught_up = self._next_offset >= page.next_offset
        await self._inbox.put(PageRead(self._stream, requested_at, page))
