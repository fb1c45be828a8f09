"""Run a proxy on starlette and aiohttp that makes no decisions, as the baseline."""

import sys

import aiohttp
import uvicorn
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route


def make_app(target: str) -> Starlette:
    """Return an application that forwards every request to one target."""
    sessions: list[aiohttp.ClientSession] = []

    async def forward(request: Request) -> Response:
        if not sessions:
            sessions.append(
                aiohttp.ClientSession(
                    connector=aiohttp.TCPConnector(limit=0),
                    cookie_jar=aiohttp.DummyCookieJar(),
                )
            )
        body = await request.body()
        headers = {"Attempt-Id": "a", "Content-Type": "application/octet-stream"}
        async with sessions[0].post(target, data=body, headers=headers) as response:
            response_body = await response.read()
            return Response(response_body, response.status)

    return Starlette(
        routes=[Route("/v1/queues/{q}/requests", forward, methods=["POST"])]
    )


if __name__ == "__main__":
    uvicorn.run(
        make_app(sys.argv[2]),
        host="127.0.0.1",
        port=int(sys.argv[1]),
        loop="asyncio",
        http="httptools",
        access_log=False,
        log_level="warning",
    )
