"""Append records to the platform's log in batches."""

import asyncio
from collections import defaultdict
from dataclasses import dataclass

from baobablane.errors import LogUnavailableError
from baobablane_platform import LogClient


@dataclass(frozen=True, slots=True)
class AppendRequest:
    """Request that a record be appended to a stream."""

    stream: str
    payload: str


class LogWriterTask:
    """Append this process's records in batches, one append at a time."""

    def __init__(self, client: LogClient, commit_seconds: float) -> None:
        """Collect records for `commit_seconds` before each append."""
        self._client = client
        self._commit_seconds = commit_seconds
        self.inbox: asyncio.Queue[AppendRequest] = asyncio.Queue()
        self.appends = 0
        self.records = 0

    async def run(self) -> None:
        """Append until cancelled."""
        while True:
            first = await self.inbox.get()
            await asyncio.sleep(self._commit_seconds)
            await self._append([first, *self._pop_queued()])

    def _pop_queued(self) -> list[AppendRequest]:
        requests: list[AppendRequest] = []
        while not self.inbox.empty():
            requests.append(self.inbox.get_nowait())
        return requests

    async def _append(self, requests: list[AppendRequest]) -> None:
        by_stream: dict[str, list[str]] = defaultdict(list)
        for request in requests:
            by_stream[request.stream].append(request.payload)
        for stream, payloads in by_stream.items():
            self.appends += 1
            self.records += len(payloads)
            try:
                await self._client.append(stream, payloads)
            except LogUnavailableError:
                # No error is reported: requesters confirm a record by reading it back.
                continue
