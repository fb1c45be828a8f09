"""Forward the calls to one executor, and leave some of them unanswered."""

import asyncio
import json
from collections.abc import Callable
from typing import Any

import aiohttp
from aiohttp import web
from baobablane_standin.platform._deployment import HOST

NEVER_SECONDS = 3600.0


class OrderProxy:
    """Own the address at which an executor is reached.

    An order that is left unanswered is carried out some seconds later, as an order
    without an answer may be, or never.
    """

    def __init__(self, target: str, write: Callable[[str], None]) -> None:
        """Forward to the address `target`; `start` must be called next."""
        self.target = target
        self.address = ""
        # Returns after how many seconds an order is carried out without an answer, or
        # None to forward it. Takes the path and the body.
        self.find_delay: Callable[[str, dict[str, Any]], float | None] = (
            lambda path, body: None
        )
        self.order_count = 0
        self.unanswered_count = 0
        self._write = write
        self._session: aiohttp.ClientSession | None = None
        self._runner: web.AppRunner | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Listen on a free port."""
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0),
            timeout=aiohttp.ClientTimeout(total=None),
        )
        app = web.Application()
        app.router.add_route("POST", "/{path:.*}", self._serve)
        self._runner = web.AppRunner(app, handler_cancellation=True)
        await self._runner.setup()
        site = web.TCPSite(self._runner, HOST, 0, shutdown_timeout=0.1)
        await site.start()
        self.address = f"{HOST}:{self._runner.addresses[0][1]}"

    async def close(self) -> None:
        """Stop listening, and drop what is still to be carried out."""
        for task in list(self._tasks):
            task.cancel()
        if self._runner is not None:
            await self._runner.cleanup()
        if self._session is not None:
            await self._session.close()

    async def reset_connections(self) -> None:
        """End all open connections, as the end of a process does."""
        assert self._runner is not None and self._runner.server is not None
        for connection in list(self._runner.server.connections):
            if connection.transport is not None:
                connection.transport.abort()

    async def _serve(self, request: web.Request) -> web.Response:
        content = await request.read()
        body = json.loads(content)
        if request.path != "/baobablane/hold":
            self.order_count += 1
        delay = self.find_delay(request.path, body)
        if delay is not None:
            self.unanswered_count += 1
            self._write(f"left unanswered: {request.path} {_name(body)}")
            work = self._carry_out_late(request, content, body, delay)
            task = asyncio.get_running_loop().create_task(work)
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(NEVER_SECONDS)
        status, answer = await self._forward(request, content)
        return web.Response(status=status, body=answer, content_type="application/json")

    async def _carry_out_late(
        self, request: web.Request, content: bytes, body: dict[str, Any], delay: float
    ) -> None:
        await asyncio.sleep(delay)
        status, answer = await self._forward(request, content)
        self._write(
            f"carried out late: {request.path} {_name(body)}: {status} {answer!r}"
        )

    async def _forward(self, request: web.Request, content: bytes) -> tuple[int, bytes]:
        assert self._session is not None
        names = ("Baobablane-Expected-Instance", "Content-Type")
        headers = {n: request.headers[n] for n in names if n in request.headers}
        async with self._session.post(
            f"http://{self.target}{request.path}", data=content, headers=headers
        ) as response:
            return response.status, await response.read()


def _name(body: dict[str, Any]) -> str:
    return f"{body.get('task', '')} run {body.get('run', '')}"
