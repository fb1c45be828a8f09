"""Create HTTP servers and wait for a process to be stopped."""

import asyncio
from collections.abc import Callable

import uvicorn
from starlette.types import ASGIApp

from ._bounded_connection import limit_connections
from ._closing_connections import close_connections
from ._connection_limit import ConnectionLimit
from ._embedded_server import EmbeddedServer
from ._message_meter import DEFAULT_MAX_HEAD_BYTES

# A request that meets the end of its connection gets no response, so clients should be
# the first to close one that is idle. HTTP clients and load balancers commonly do so
# after 15 to 350 s.
KEEP_ALIVE_SECONDS = 600
# Half of the descriptors that an entry instance has at the least.
MAX_CONNECTIONS = 2000
BACKLOG_SHARE = 0.2
MIN_BACKLOG = 16


def make_server(
    app: ASGIApp,
    host: str,
    port: int,
    stop_seconds: float,
    is_leaving: Callable[[], bool] = lambda: False,
    max_connections: int = MAX_CONNECTIONS,
    limit: ConnectionLimit | None = None,
    max_head_bytes: Callable[[], int] = lambda: DEFAULT_MAX_HEAD_BYTES,
) -> uvicorn.Server:
    """Return an HTTP server without signal handlers or access log.

    While `is_leaving`, or with more than `max_connections`, each response ends its
    connection. At the `limit`, which servers may share, new connections end those that
    have been idle for longest. A head larger than `max_head_bytes` is refused. The
    server waits up to `stop_seconds` for open requests when it stops.
    """
    limit = limit or ConnectionLimit()

    def should_close() -> bool:
        return is_leaving() or len(server.server_state.connections) > max_connections

    config = uvicorn.Config(
        close_connections(app, should_close),
        host=host,
        port=port,
        loop="asyncio",
        http=limit_connections(limit, max_head_bytes),
        # Accepted at once, before any of them counts.
        backlog=max(MIN_BACKLOG, int(limit.max_open * BACKLOG_SHARE)),
        ws="none",
        lifespan="off",
        log_config=None,
        log_level="warning",
        access_log=False,
        proxy_headers=False,
        timeout_keep_alive=KEEP_ALIVE_SECONDS,
        timeout_graceful_shutdown=int(stop_seconds),
    )
    server = EmbeddedServer(config)
    return server


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
