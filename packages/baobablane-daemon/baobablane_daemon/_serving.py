"""Share how processes serve HTTP and wait for their end."""

import asyncio

import uvicorn
from starlette.types import ASGIApp

from ._embedded_server import EmbeddedServer


def make_server(
    app: ASGIApp, host: str, port: int, stop_seconds: float, keep_alive_seconds: int = 5
) -> uvicorn.Server:
    """Return a server without signal handlers and access log."""
    config = uvicorn.Config(
        app,
        host=host,
        port=port,
        loop="asyncio",
        http="httptools",
        ws="none",
        lifespan="off",
        log_level="warning",
        access_log=False,
        proxy_headers=False,
        timeout_keep_alive=keep_alive_seconds,
        timeout_graceful_shutdown=int(stop_seconds),
    )
    return EmbeddedServer(config)


async def wait_for_stop(stop: asyncio.Event, tasks: list["asyncio.Task[None]"]) -> None:
    """Return when `stop` is set, or raise what ended one of the tasks."""
    stop_waiter = asyncio.create_task(stop.wait())
    done, _ = await asyncio.wait(
        [stop_waiter, *tasks], return_when=asyncio.FIRST_COMPLETED
    )
    stop_waiter.cancel()
    for task in done - {stop_waiter}:
        # A task that ends by itself has failed; its error ends the process.
        task.result()
