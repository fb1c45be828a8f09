"""Create HTTP servers and wait for a process to be stopped."""

import asyncio

import uvicorn
from starlette.types import ASGIApp

from ._embedded_server import EmbeddedServer


def make_server(
    app: ASGIApp, host: str, port: int, stop_seconds: float, keep_alive_seconds: int = 5
) -> uvicorn.Server:
    """Return an HTTP server without signal handlers or access log.

    It waits up to `stop_seconds` for open requests when it stops.
    """
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
    """Return when `stop` is set, or raise the error that ended one of the tasks."""
    stop_waiter = asyncio.create_task(stop.wait())
    done, _ = await asyncio.wait(
        [stop_waiter, *tasks], return_when=asyncio.FIRST_COMPLETED
    )
    stop_waiter.cancel()
    for task in done - {stop_waiter}:
        # The tasks run until cancelled, so one that ends has failed; its error ends
        # the process.
        task.result()
