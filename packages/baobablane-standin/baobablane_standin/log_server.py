"""Serve the stand-in log over HTTP and inject its failures."""

import asyncio
import time
from collections import defaultdict

import msgspec
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from .log_store import LogStream

CONFIG_STREAM = "config"


class LogSwitches(msgspec.Struct):
    """Store the failures that are switched on; `down` rejects reads and appends."""

    down: bool = False
    # Added to the time of every read and append.
    slow_seconds: float = 0.0
    # Appends take effect, but their responses are lost (simulated by status 504).
    lose_answers: bool = False
    # Appends to the configuration wait until this many have arrived, so that tests can
    # make them concurrent; 0 turns the wait off.
    gather_config_appends: int = 0
    # Names (header Log-Client) of clients that can neither read nor append.
    cut_clients: list[str] = []


class LogServer:
    """Serve the streams of the log and the failure switches."""

    def __init__(self, retention_seconds: float) -> None:
        """Start with empty streams and all switches off."""
        self.streams: dict[str, LogStream] = defaultdict(
            lambda: LogStream(retention_seconds)
        )
        self.switches = LogSwitches()
        self.append_count = 0
        self._gathered_count = 0
        self._all_gathered = asyncio.Event()
        self.app = Starlette(
            routes=[
                Route("/streams/{stream}/records", self._append, methods=["POST"]),
                Route("/streams/{stream}/records", self._read, methods=["GET"]),
                Route("/streams/{stream}/expire", self._expire, methods=["POST"]),
                Route("/switches", self._set_switches, methods=["PUT"]),
                Route("/stats", self._stats, methods=["GET"]),
            ]
        )

    async def _append(self, request: Request) -> Response:
        body = await request.body()
        if await self._fails_after_delay(request):
            return Response(status_code=503)
        payloads = msgspec.json.decode(body, type=list[str])
        await self._wait_for_config_appends(request.path_params["stream"])
        stream = self.streams[request.path_params["stream"]]
        offsets = stream.append(payloads, time.time())
        self.append_count += 1
        if self.switches.lose_answers:
            return Response(status_code=504)
        return JSONResponse({"offsets": offsets})

    async def _wait_for_config_appends(self, stream: str) -> None:
        if stream != CONFIG_STREAM or not self.switches.gather_config_appends:
            return
        self._gathered_count += 1
        if self._gathered_count >= self.switches.gather_config_appends:
            self._all_gathered.set()
        await self._all_gathered.wait()

    async def _read(self, request: Request) -> Response:
        if await self._fails_after_delay(request):
            return Response(status_code=503)
        start = int(request.query_params.get("from", "0"))
        wait_seconds = float(request.query_params.get("wait_seconds", "0"))
        stream = self.streams[request.path_params["stream"]]
        await stream.wait_for_record(start, min(wait_seconds, 30.0))
        if self._is_unavailable_for(request):
            return Response(status_code=503)
        page = stream.read(start, time.time())
        return Response(msgspec.json.encode(page), media_type="application/json")

    async def _expire(self, request: Request) -> Response:
        before = int(request.query_params["before"])
        self.streams[request.path_params["stream"]].drop_before(before)
        return JSONResponse({})

    async def _set_switches(self, request: Request) -> Response:
        self.switches = msgspec.json.decode(await request.body(), type=LogSwitches)
        self._gathered_count = 0
        self._all_gathered = asyncio.Event()
        return JSONResponse({})

    async def _stats(self, request: Request) -> Response:
        return JSONResponse({"appends": self.append_count})

    async def _fails_after_delay(self, request: Request) -> bool:
        if self.switches.slow_seconds:
            await asyncio.sleep(self.switches.slow_seconds)
        return self._is_unavailable_for(request)

    def _is_unavailable_for(self, request: Request) -> bool:
        client = request.headers.get("log-client", "")
        return self.switches.down or client in self.switches.cut_clients
