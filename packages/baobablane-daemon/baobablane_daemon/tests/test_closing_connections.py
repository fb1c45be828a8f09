"""Test which side ends a caller's connection, and when."""

import asyncio
from contextlib import asynccontextmanager
from urllib.parse import urlsplit

import aiohttp
from baobablane_standin.platform import PATH_PREFIX
from baobablane_standin.platform._deployment import API_KEY, HOST, QUEUE_HOST
from starlette.responses import Response

from baobablane_daemon._serving import make_server

from .platform_deployment import JOB, find_free_port, run_deployment

# Load balancers keep idle connections to the servers behind them for up to this long.
LONGEST_CLIENT_IDLE_SECONDS = 350


async def answer(scope, receive, send):
    """Answer each request with an empty response."""
    await Response()(scope, receive, send)


@asynccontextmanager
async def run_server(**options):
    """Run a server and return the URL at which it answers."""
    port = find_free_port()
    server = make_server(answer, HOST, port, 1.0, **options)
    task = asyncio.create_task(server.serve())
    try:
        while not server.started:
            await asyncio.sleep(0.01)
        yield f"http://{HOST}:{port}/"
    finally:
        server.should_exit = True
        await task


async def is_closed_by_server(url):
    """Return whether a response says that the server ends the connection."""
    async with aiohttp.ClientSession() as session, session.get(url) as response:
        return response.headers.get("Connection") == "close"


class TestIdleConnections:
    """Test that the server isn't the first to close an idle connection."""

    def test_idle_connections_outlast_those_of_clients(self):
        """Guards against a close that meets a request, which then gets no response."""
        server = make_server(answer, HOST, 0, 1.0)
        assert server.config.timeout_keep_alive > LONGEST_CLIENT_IDLE_SECONDS


class TestManyConnections:
    """Test that connections are given back before descriptors run out."""

    async def test_response_ends_its_connection_above_the_limit(self):
        """Guards against callers that can't connect since idle ones hold all."""
        async with run_server(max_connections=1) as url:
            assert not await is_closed_by_server(url)
            async with aiohttp.ClientSession() as session:
                await (await session.get(url)).read()
                assert await is_closed_by_server(url)


class TestUnreadBody:
    """Test responses to requests whose bodies have not been read."""

    # More than the buffers of both sides of a connection to this machine hold.
    BODY_BYTES = 8_000_000

    async def test_response_is_not_lost_with_the_rest_of_the_body(self):
        """Guards against a reset: a client that sends meets it before the response."""
        async with run_server(is_leaving=lambda: True) as url:
            reader, writer = await asyncio.open_connection(HOST, urlsplit(url).port)
            head = "POST / HTTP/1.1\r\nHost: q.example\r\nContent-Length: {}\r\n\r\n"
            writer.write(head.format(self.BODY_BYTES).encode())
            writer.write(bytes(self.BODY_BYTES))
            await writer.drain()
            assert await reader.readline() == b"HTTP/1.1 200 OK\r\n"
            writer.close()


class TestLeavingInstance:
    """Test an instance that the balancer should route no callers to."""

    async def is_query_closed(self, deployment, entry):
        """Return whether the response to a query ends its connection."""
        headers = {"Host": QUEUE_HOST, "Authorization": f"Bearer {API_KEY}"}
        url = f"http://{entry.address}{PATH_PREFIX}{JOB}"
        async with deployment.session.get(url, headers=headers) as response:
            return response.headers.get("Connection") == "close"

    async def test_ready_instance_keeps_connections(self):
        async with run_deployment(1) as deployment:
            (entry,) = deployment.entries
            await deployment.submit(entry)
            assert not await self.is_query_closed(deployment, entry)

    async def test_stopping_instance_ends_connections_with_their_responses(self):
        """Guards against a stop that closes the connection of a caller's request."""
        async with run_deployment(1) as deployment:
            (entry,) = deployment.entries
            await deployment.submit(entry)
            entry.stop.set()
            await deployment.wait_until_not_ready(entry)
            assert await self.is_query_closed(deployment, entry)
