"""Serve several ASGI applications from one process."""

import asyncio

import uvicorn
from starlette.types import ASGIApp


def make_server(app: ASGIApp, host: str, port: int) -> uvicorn.Server:
    """Return a server for an application; it logs only warnings and errors."""
    config = uvicorn.Config(
        app,
        host=host,
        port=port,
        loop="asyncio",
        lifespan="off",
        log_level="warning",
        access_log=False,
        timeout_graceful_shutdown=1,
    )
    return uvicorn.Server(config)


async def serve_all(apps_by_port: dict[int, ASGIApp], host: str) -> None:
    """Serve each application on its port until the process is stopped."""
    servers = [make_server(app, host, port) for port, app in apps_by_port.items()]
    await asyncio.gather(*(server.serve() for server in servers))
