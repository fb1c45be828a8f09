"""Serve the stand-in's store, upstreams and instance list over HTTP."""

import asyncio
import base64
import bisect
import time
from collections.abc import AsyncIterator, Callable
from contextlib import suppress
from functools import partial
from typing import TypeVar

import msgspec
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response, StreamingResponse
from starlette.routing import Route

from ._partition import AppendRejectedError, Partition
from ._store import PlatformStore
from ._upstream import StandinUpstream

LENGTH_BYTES = 4
OFFSET_BYTES = 8
# Interval at which a response of limited bandwidth is continued.
CHUNK_INTERVAL_SECONDS = 0.02
DEFAULT_PAGE_KB = 1024
MAX_NEWEST_ITEMS = 500
MAX_NEWEST_BYTES = 1_000_000

T = TypeVar("T")


class PlatformServer:
    """Build the applications of a stand-in platform."""

    def __init__(self, store: PlatformStore, pool: str) -> None:
        """Create the application for the store and the instance list."""
        self.store = store
        self._pool = pool
        self.upstreams: dict[str, StandinUpstream] = {}
        # The highest fencing token of an order for an instance.
        self._highest_fencing_token = 0
        # Instance and wave of the maintenance orders that were carried out.
        self._maintained: set[tuple[str, int]] = set()
        # Called with the instance, the wave and the holder before maintenance begins.
        self.on_maintenance: Callable[[str, int, str], None] = lambda *order: None
        # State of all instances in the list.
        self.instance_state = "up"
        # Append requests received, including those that failed.
        self.append_count = 0
        # Responses that the client did not read to the end.
        self.aborted_read_count = 0
        self.app = Starlette(
            routes=[
                Route("/baobablane/log-append", self._append, methods=["POST"]),
                Route("/baobablane/log-read", self._read, methods=["GET"]),
                Route("/baobablane/log-newest", self._read_newest, methods=["GET"]),
                Route("/baobablane/log-join", self._join, methods=["POST"]),
                Route("/baobablane/log-leave", self._leave, methods=["POST"]),
                Route("/baobablane/machines", self._list_instances, methods=["GET"]),
                Route("/baobablane/machine-upkeep", self._maintain, methods=["POST"]),
            ]
        )

    def add_upstream(self, upstream: StandinUpstream) -> Starlette:
        """List an upstream as an instance and return its application."""

        async def start(request: Request) -> Response:
            return await _serve_order(upstream, request, upstream.start)

        async def stop(request: Request) -> Response:
            return await _serve_order(upstream, request, upstream.stop)

        async def renew_leases(request: Request) -> Response:
            order = msgspec.json.decode(await request.body())
            status = _rejection_status(upstream, request)
            if status:
                return Response(status_code=status)
            return _make_response(await upstream.renew_leases(order))

        self.upstreams[upstream.id] = upstream
        return Starlette(
            routes=[
                Route("/baobablane/run-start", start, methods=["POST"]),
                Route("/baobablane/run-stop", stop, methods=["POST"]),
                Route("/baobablane/hold", renew_leases, methods=["POST"]),
            ]
        )

    async def _append(self, request: Request) -> Response:
        query = request.query_params
        body = await request.body()
        self.append_count += 1
        switches = self.store.switches
        if switches.is_silent:
            return await _await_disconnect(request)
        await asyncio.sleep(switches.delay_seconds)
        is_rejected = (
            switches.rejects_every and not self.append_count % switches.rejects_every
        )
        if switches.is_down or is_rejected:
            return Response(status_code=503)
        if switches.loses_writes:
            return Response(status_code=504)
        producer = None
        if "producer" in query:
            producer = (
                query["producer"],
                int(query["epoch"]),
                int(query["sequence"]),
            )
        expected_end_offset = int(query["at"]) if "at" in query else None
        append = partial(
            self._partition(request).append,
            _split_records(body),
            producer,
            expected_end_offset,
        )
        if switches.late_write_seconds:
            asyncio.get_running_loop().call_later(
                switches.late_write_seconds, _append_late, append
            )
            return Response(status_code=504)
        try:
            response = append()
        except AppendRejectedError as error:
            return JSONResponse(error.response, error.status)
        if switches.loses_responses:
            return Response(status_code=504)
        return JSONResponse(response)

    async def _read(self, request: Request) -> Response:
        if self.store.switches.is_silent:
            return await _await_disconnect(request)
        await asyncio.sleep(self.store.switches.delay_seconds)
        if not self._is_readable(request):
            return Response(status_code=503)
        partition = self._partition(request)
        start = int(request.query_params["from"])
        wait_seconds = int(request.query_params.get("waitMs", "0")) / 1000
        if start < partition.first_offset:
            return JSONResponse({"first": partition.first_offset}, 410)
        await partition.wait_for_record(start, wait_seconds)
        if self.store.switches.is_silent:
            return await _await_disconnect(request)
        if not self._is_readable(request):
            return Response(status_code=503)
        header = partition.end_offset.to_bytes(OFFSET_BYTES, "big")
        header += partition.first_offset.to_bytes(OFFSET_BYTES, "big")
        max_bytes = int(request.query_params.get("maxKb", DEFAULT_PAGE_KB)) * 1024
        records = partition.records[start - partition.first_offset :]
        page = _take_page(records, max_bytes, len)
        frames = [len(r).to_bytes(LENGTH_BYTES, "big") + r for r in page]
        return self._send_page(header + b"".join(frames))

    async def _read_newest(self, request: Request) -> Response:
        if self.store.switches.is_silent:
            return await _await_disconnect(request)
        if not self._is_readable(request):
            return Response(status_code=503)
        partition = self._partition(request)
        after = request.query_params.get("after", "")
        keys = partition.sorted_keys()
        unread_keys = keys[bisect.bisect_right(keys, after) :]
        unread = [
            (key, partition.newest[key]) for key in unread_keys[:MAX_NEWEST_ITEMS]
        ]
        taken = _take_page(unread, MAX_NEWEST_BYTES, lambda item: len(item[1][1]))
        items = [
            {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
            for key, (offset, value) in taken
        ]
        page = {
            "items": items,
            "hasMore": len(taken) < len(unread_keys),
            "end": partition.end_offset,
        }
        return self._send_page(msgspec.json.encode(page))

    def _is_readable(self, request: Request) -> bool:
        switches = self.store.switches
        topic = request.query_params["topic"]
        return not switches.is_down and topic not in switches.unreadable_topics

    def _send_page(self, body: bytes) -> Response:
        bandwidth = self.store.switches.read_bandwidth
        if bandwidth is None:
            return Response(body)
        headers = {"Content-Length": str(len(body))}
        return StreamingResponse(self._limit_bandwidth(body, bandwidth), 200, headers)

    async def _limit_bandwidth(
        self, body: bytes, bandwidth: float
    ) -> AsyncIterator[bytes]:
        chunk_bytes = max(1, round(bandwidth * CHUNK_INTERVAL_SECONDS))
        position = 0
        try:
            while position < len(body):
                await asyncio.sleep(CHUNK_INTERVAL_SECONDS)
                yield body[position : position + chunk_bytes]
                position += chunk_bytes
        finally:
            if position < len(body):
                self.aborted_read_count += 1

    async def _join(self, request: Request) -> Response:
        if self.store.switches.is_down:
            return Response(status_code=503)
        join = msgspec.json.decode(await request.body())
        response = self.store.join(
            join["group"],
            join["member"],
            join["topics"][0],
            join["ttlMs"] / 1000,
            time.monotonic(),
        )
        return JSONResponse(response)

    async def _leave(self, request: Request) -> Response:
        if self.store.switches.is_down:
            return Response(status_code=503)
        leave = msgspec.json.decode(await request.body())
        self.store.leave(leave["group"], leave["member"])
        return JSONResponse({})

    async def _list_instances(self, request: Request) -> Response:
        machines = [
            {
                "machine": upstream.instance,
                "pool": upstream.pool,
                "state": (
                    upstream.down_state if upstream.is_down else self.instance_state
                ),
                "zone": upstream.zone,
                "labels": ["a"],
                "capacity": {"cpu": upstream.cores * 1000, "memMb": 65536, "gpu": 0},
                "id": "" if upstream.is_down else upstream.id,
            }
            for upstream in self.upstreams.values()
        ]
        return JSONResponse({"machines": machines, "nextToken": None})

    async def _maintain(self, request: Request) -> Response:
        order = msgspec.json.decode(await request.body())
        token = int(request.headers["Baobablane-Fencing-Token"])
        if token < self._highest_fencing_token:
            return JSONResponse({"reason": "fence"}, 409)
        self._highest_fencing_token = token
        key = (order["machine"], order["wave"])
        if key in self._maintained:
            return JSONResponse({})
        upstreams = self.upstreams.values()
        upstream = next((u for u in upstreams if u.instance == key[0]), None)
        if upstream is None or upstream.is_down:
            return JSONResponse({"reason": "busy"}, 409)
        self._maintained.add(key)
        upstream.end_due_runs()
        self.on_maintenance(*key, request.headers["Baobablane-Lease-Holder"])
        upstream.crash(state="upkeep")
        return JSONResponse({})

    def _partition(self, request: Request) -> Partition:
        query = request.query_params
        return self.store.partition(query["topic"], int(query["part"]))


async def _await_disconnect(request: Request) -> Response:
    """Return a response that nobody receives, once the client has given up."""
    while not await request.is_disconnected():
        await asyncio.sleep(CHUNK_INTERVAL_SECONDS)
    return Response(status_code=504)


async def _serve_order(
    upstream: StandinUpstream,
    request: Request,
    carry_out: Callable[[dict[str, object]], tuple[int, dict[str, object]]],
) -> Response:
    order = msgspec.json.decode(await request.body())
    status = _rejection_status(upstream, request)
    if status:
        return Response(status_code=status)
    return _make_response(carry_out(order))


def _rejection_status(upstream: StandinUpstream, request: Request) -> int:
    """Return the HTTP status if an upstream can't serve a request, or 0."""
    if upstream.is_down:
        # Stands for a process that is gone: the caller learns nothing of the outcome.
        return 500
    expected_id = request.headers.get("Baobablane-Expected-Instance")
    return 0 if expected_id == upstream.id else 421


def _append_late(append: Callable[[], object]) -> None:
    with suppress(AppendRejectedError):
        append()


def _make_response(result: tuple[int, dict[str, object]]) -> Response:
    status, response = result
    return JSONResponse(response, status)


def _take_page(items: list[T], max_bytes: int, size: Callable[[T], int]) -> list[T]:
    """Return the first items that fit into a page, at least one if there are any."""
    size_bytes = 0
    for count, item in enumerate(items):
        size_bytes += size(item)
        if count and size_bytes > max_bytes:
            return items[:count]
    return items


def _split_records(body: bytes) -> list[bytes]:
    records: list[bytes] = []
    position = 0
    while position < len(body):
        start = position + LENGTH_BYTES
        position = start + int.from_bytes(body[position:start], "big")
        records.append(body[start:position])
    return records
