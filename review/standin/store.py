"""Serve the platform's log as PROTOCOL.md describes it, in memory."""

import asyncio
import base64
import json
from collections.abc import Callable

from aiohttp import web

APPEND_SECONDS = 0.004
MAX_NEWEST_ITEMS = 500
KEPT_RESPONSES = 5


class Partition:
    """Hold the records of one partition, and the newest of each key."""

    def __init__(self, is_keyed: bool) -> None:
        """Start empty."""
        self.is_keyed = is_keyed
        self.records: list[bytes] = []
        self.newest: dict[str, tuple[int, bytes]] = {}
        self.lock = asyncio.Lock()
        self.changed = asyncio.Event()
        self.epochs: dict[str, int] = {}
        self.next_sequences: dict[str, int | None] = {}
        self.responses: dict[str, dict[int, dict[str, int]]] = {}

    def add(self, record: bytes) -> None:
        """Append one record without any condition."""
        if self.is_keyed:
            end = 1 + record[0]
            key, value = record[1:end].decode(), record[end:]
            if value:
                self.newest[key] = (len(self.records), value)
            else:
                self.newest.pop(key, None)
        self.records.append(record)
        self.changed.set()
        self.changed = asyncio.Event()

    def check_producer(
        self, name: str, epoch: int, sequence: int
    ) -> web.Response | None:
        """Return the rejection or the first response to a repetition, if any."""
        known = self.epochs.get(name)
        if known is not None and epoch < known:
            return web.json_response({"reason": "fenced"}, status=409)
        if known is None or epoch > known:
            return None
        if sequence in self.responses[name]:
            return web.json_response(self.responses[name][sequence])
        expected = self.next_sequences[name]
        if expected is not None and sequence != expected:
            return web.json_response(
                {"reason": "seq", "sequence": expected}, status=409
            )
        return None

    def note_producer(
        self, name: str, epoch: int, sequence: int, response: dict[str, int]
    ) -> None:
        """Remember an append of a producer."""
        if self.epochs.get(name) != epoch:
            self.epochs[name], self.responses[name] = epoch, {}
        self.next_sequences[name] = sequence + 1
        responses = self.responses[name]
        responses[sequence] = response
        while len(responses) > KEPT_RESPONSES:
            del responses[min(responses)]


class Store:
    """Serve appends and reads of all topics, and the list of machines."""

    def __init__(self, list_machines: Callable[[], list[dict[str, object]]]) -> None:
        """Start without topics."""
        self.partitions: dict[tuple[str, int], Partition] = {}
        self.list_machines = list_machines

    def partition(self, topic: str, number: int = 0) -> Partition:
        """Return a partition, which is created on first use."""
        key = (topic, number)
        if key not in self.partitions:
            self.partitions[key] = Partition(topic.startswith("keyed."))
        return self.partitions[key]

    def put(self, topic: str, key: str, value: object) -> None:
        """Write a keyed record as the platform does; None deletes the key."""
        name = key.encode()
        content = b"" if value is None else json.dumps(value).encode()
        self.partition(topic).add(len(name).to_bytes(1, "big") + name + content)

    def newest(self, topic: str, key: str) -> object:
        """Return the newest value of a key, or None."""
        found = self.partition(topic).newest.get(key)
        return json.loads(found[1]) if found else None

    def app(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application(client_max_size=4 * 1024 * 1024)
        app.router.add_post("/baobablane/log-append", self._append)
        app.router.add_get("/baobablane/log-read", self._read)
        app.router.add_get("/baobablane/log-newest", self._read_newest)
        app.router.add_get("/baobablane/machines", self._machines)
        return app

    def _partition_of(self, request: web.Request) -> Partition:
        return self.partition(request.query["topic"], int(request.query["part"]))

    async def _append(self, request: web.Request) -> web.Response:
        query, body = request.query, await request.read()
        if query["topic"] in ("keyed.op", "keyed.servers"):
            return web.json_response({}, status=403)
        partition = self._partition_of(request)
        async with partition.lock:
            await asyncio.sleep(APPEND_SECONDS)
            producer = None
            if "producer" in query:
                producer = (
                    query["producer"],
                    int(query["epoch"]),
                    int(query["sequence"]),
                )
                rejection = partition.check_producer(*producer)
                if rejection is not None:
                    return rejection
            end = len(partition.records)
            if "at" in query and int(query["at"]) != end:
                return web.json_response({"end": end}, status=412)
            position = 0
            while position < len(body):
                start = position + 4
                position = start + int.from_bytes(body[position:start], "big")
                partition.add(body[start:position])
            response = {"offset": end, "end": len(partition.records)}
            if producer is not None:
                partition.note_producer(*producer, response)
            return web.json_response(response)

    async def _read(self, request: web.Request) -> web.Response:
        partition, query = self._partition_of(request), request.query
        start = int(query["from"])
        max_bytes = int(query.get("maxKb", "1024")) * 1024
        if start >= len(partition.records):
            changed = partition.changed
            try:
                async with asyncio.timeout(int(query.get("waitMs", "0")) / 1000):
                    await changed.wait()
            except TimeoutError:
                pass
        body = bytearray(len(partition.records).to_bytes(8, "big") + bytes(8))
        for record in partition.records[start:]:
            if len(body) > 16 and len(body) + len(record) > max_bytes:
                break
            body += len(record).to_bytes(4, "big") + record
        return web.Response(body=bytes(body))

    async def _read_newest(self, request: web.Request) -> web.Response:
        partition = self._partition_of(request)
        after = request.query.get("after", "")
        keys = sorted(key for key in partition.newest if key > after)
        items = [
            {
                "key": key,
                "value": base64.b64encode(partition.newest[key][1]).decode(),
                "offset": partition.newest[key][0],
            }
            for key in keys[:MAX_NEWEST_ITEMS]
        ]
        return web.json_response(
            {
                "items": items,
                "hasMore": len(keys) > MAX_NEWEST_ITEMS,
                "end": len(partition.records),
            }
        )

    async def _machines(self, request: web.Request) -> web.Response:
        return web.json_response({"machines": self.list_machines(), "nextToken": None})
