"""Serve the stand-in instance list over HTTP, with a propagation delay."""

import time

import msgspec
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route


class ListedInstance(msgspec.Struct, frozen=True):
    """Store one listed instance; its state is live, leaving or gone."""

    id: str
    state: str


class InstanceList:
    """Store the instances and the changes that are not visible yet."""

    def __init__(self, lag_seconds: float) -> None:
        """Start empty; changes become visible after `lag_seconds`."""
        self._lag_seconds = lag_seconds
        self._visible: dict[str, ListedInstance] = {}
        self._pending: list[tuple[float, ListedInstance]] = []
        self._is_down = False
        self.app = Starlette(
            routes=[
                Route("/instances", self._read, methods=["GET"]),
                Route("/instances", self._change, methods=["PUT"]),
                Route("/switches", self._set_switches, methods=["PUT"]),
            ]
        )

    async def _read(self, request: Request) -> Response:
        if self._is_down:
            return Response(status_code=503)
        self._apply_pending(time.monotonic())
        body = msgspec.json.encode(list(self._visible.values()))
        return Response(body, media_type="application/json")

    async def _change(self, request: Request) -> Response:
        changed = msgspec.json.decode(await request.body(), type=list[ListedInstance])
        visible_at = time.monotonic() + self._lag_seconds
        self._pending += [(visible_at, instance) for instance in changed]
        return JSONResponse({})

    async def _set_switches(self, request: Request) -> Response:
        self._is_down = bool((await request.json()).get("down", False))
        return JSONResponse({})

    def _apply_pending(self, now: float) -> None:
        for visible_at, instance in self._pending:
            if visible_at <= now:
                self._visible[instance.id] = instance
        self._pending = [(at, item) for at, item in self._pending if at > now]
