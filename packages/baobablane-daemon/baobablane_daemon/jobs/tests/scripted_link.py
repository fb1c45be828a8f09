"""Give the client of the store a connection whose pace the tests choose."""

import asyncio
import base64
import math
from collections import defaultdict
from types import SimpleNamespace

import msgspec
from baobablane_platform import KeyedRecord, StoreClient

# As the client, which aborts a response without any data for this long.
STALL_SECONDS = 0.9
CHUNK_SECONDS = 0.1
CALL_SECONDS = 0.01


async def at_once(body):
    """Send a body in one piece."""
    yield body


def at_rate(bytes_per_second, chunk_seconds=CHUNK_SECONDS):
    """Return a pace of so many bytes per second, in steps of `chunk_seconds`."""

    async def pace(body):
        position, due = 0, 0.0
        while position < len(body):
            await asyncio.sleep(chunk_seconds)
            due += bytes_per_second * chunk_seconds
            if chunk := body[position : math.floor(due)]:
                yield chunk
            position += len(chunk)

    return pace


def stop_after(count, then):
    """Return a pace that sends `count` bytes at once, and the rest as `then` does."""

    async def pace(body):
        yield body[:count]
        async for chunk in then(body[count:]):
            yield chunk

    return pace


async def stall(body):
    """Send nothing more until the client gives up."""
    await asyncio.sleep(STALL_SECONDS)
    raise TimeoutError("no data")
    yield body


class ScriptedResponse:
    """Respond to one call at a pace."""

    def __init__(self, body, pace, head_seconds=CALL_SECONDS, has_length=True):
        """Set what is sent, and after how many seconds it begins."""
        self.status = 200
        self.content_length = len(body) if has_length else None
        self.content = SimpleNamespace(iter_any=lambda: pace(body))
        self._head_seconds = head_seconds

    async def __aenter__(self):
        """Send the head."""
        await asyncio.sleep(self._head_seconds)
        return self

    async def __aexit__(self, *error):
        """Close the connection."""

    async def read(self):
        """Return the body once all of it has arrived."""
        return b"".join([chunk async for chunk in self.content.iter_any()])


class LinkedStore(StoreClient):
    """Read the records of all topics from memory, over connections of some pace."""

    def __init__(self, link_mbit=1000.0):
        """Start without records, at full pace; needs a running event loop."""
        super().__init__("", link_mbit)
        self._unused_session = self._session
        self._session = SimpleNamespace(request=self._respond)
        self.records_by_topic = defaultdict(list)
        self.pace = at_once
        self.head_seconds = CALL_SECONDS
        # How long the store collects the newest records.
        self.newest_seconds = CALL_SECONDS
        self.has_length = True

    def put(self, topic, key, value):
        """Append a record, as another instance does."""
        self.records_by_topic[topic].append(KeyedRecord(key, value))

    async def close(self):
        """Close the session that the client has opened."""
        await self._unused_session.close()

    def _respond(self, method, url, params, data, timeout):
        records = self.records_by_topic[params["topic"]]
        if "from" not in params:
            return self._make_response(_newest_page(records), self.newest_seconds)
        start = int(params["from"])
        seconds = CALL_SECONDS
        if start == len(records):
            seconds += int(params["waitMs"]) / 1000
        page = _page(records, start, int(params["maxKb"]) * 1024)
        return self._make_response(page, seconds)

    def _make_response(self, body, seconds):
        head_seconds = max(seconds, self.head_seconds)
        return ScriptedResponse(body, self.pace, head_seconds, self.has_length)


def _page(records, start, max_bytes):
    page = len(records).to_bytes(8, "big") + bytes(8)
    for record in records[start:]:
        content = bytes([len(record.key)]) + record.key.encode() + record.value
        if len(page) > 16 and len(page) + len(content) > max_bytes:
            break
        page += len(content).to_bytes(4, "big") + content
    return page


def _newest_page(records):
    newest = {record.key: record.value for record in records}
    items = [
        {"key": key, "value": base64.b64encode(value).decode()}
        for key, value in newest.items()
    ]
    return msgspec.json.encode({"items": items, "end": len(records)})
