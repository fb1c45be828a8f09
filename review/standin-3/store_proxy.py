"""Forward one machine's calls to the store, and hold back a chosen append."""

import asyncio
from collections.abc import Callable

import aiohttp
from aiohttp import web
from baobablane_standin.platform._deployment import HOST


class StoreProxy:
    """Own the address at which one machine reaches the store.

    The chosen append gets no response, and is carried out some seconds later.
    """

    def __init__(self, target: str, write: Callable[[str], None]) -> None:
        """Forward to the address `target`; `start` must be called next."""
        self.target = target
        self.address = ""
        # An append to the topic of jobs with this text in its body is held back.
        self.chosen = b""
        self.late_seconds = 0.0
        # Set when the chosen append has arrived.
        self.has_arrived = asyncio.Event()
        self.was_carried_out = False
        self._write = write
        self._session: aiohttp.ClientSession | None = None
        self._runner: web.AppRunner | None = None
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0),
            timeout=aiohttp.ClientTimeout(total=None),
        )
        app = web.Application(client_max_size=2**22)
        app.router.add_route("*", "/{path:.*}", self._serve)
        self._runner = web.AppRunner(app, handler_cancellation=True)
        await self._runner.setup()
        site = web.TCPSite(self._runner, HOST, 0, shutdown_timeout=0.1)
        await site.start()
        self.address = f"{HOST}:{self._runner.addresses[0][1]}"

    async def close(self) -> None:
        """Stop listening."""
        if self._task is not None:
            self._task.cancel()
        if self._runner is not None:
            await self._runner.cleanup()
        if self._session is not None:
            await self._session.close()

    async def _serve(self, request: web.Request) -> web.Response:
        content = await request.read()
        is_append = request.path == "/baobablane/log-append"
        if is_append and self.chosen and self.chosen in content:
            if self._task is None:
                self._write("the store has received the append, and does not answer")
                work = self._carry_out_late(request.path_qs, content)
                self._task = asyncio.get_running_loop().create_task(work)
            self.has_arrived.set()
            await asyncio.Event().wait()
        status, body, kind = await self._forward(
            request.method, request.path_qs, content
        )
        return web.Response(status=status, body=body, content_type=kind)

    async def _carry_out_late(self, path: str, content: bytes) -> None:
        await asyncio.sleep(self.late_seconds)
        status, _, _ = await self._forward("POST", path, content)
        self.was_carried_out = status == 200
        self._write(f"the store has carried the append out: {status}")

    async def _forward(
        self, method: str, path: str, content: bytes
    ) -> tuple[int, bytes, str]:
        assert self._session is not None
        async with self._session.request(
            method, f"http://{self.target}{path}", data=content
        ) as response:
            return response.status, await response.read(), response.content_type
