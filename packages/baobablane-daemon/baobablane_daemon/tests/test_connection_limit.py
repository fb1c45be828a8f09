"""Test an entry instance to which more clients connect than it has descriptors for.

Idle connections held all of them, and neither callers nor the balancer got in.
"""

import asyncio
import resource
from urllib.parse import urlsplit

import pytest
from baobablane_standin.platform import PATH_PREFIX
from baobablane_standin.platform._deployment import API_KEY, HOST, QUEUE_HOST
from starlette.responses import Response

from baobablane_daemon._connection_limit import MAX_OPEN_CONNECTIONS, ConnectionLimit
from baobablane_daemon._serving import make_server

from .platform_deployment import JOB, READY_PATH, find_free_port, run_deployment

HEAD = b"GET / HTTP/1.1\r\nHost: q.example\r\n\r\n"
HANG_TIMEOUT_SECONDS = 60.0


class Clients:
    """Open connections to an address, in order."""

    def __init__(self, port):
        """Start without connections."""
        self._port = port
        self.readers = []
        self.writers = []

    async def connect(self, count):
        """Open connections one after the other."""
        for _ in range(count):
            reader, writer = await asyncio.open_connection(HOST, self._port)
            self.readers.append(reader)
            self.writers.append(writer)

    async def ask(self, index):
        """Send a request over a connection and return the status line."""
        self.writers[index].write(HEAD)
        head = await self.readers[index].readuntil(b"\r\n\r\n")
        return head.partition(b"\r\n")[0]

    async def is_closed(self, index):
        """Wait until the server has closed a connection."""
        async with asyncio.timeout(HANG_TIMEOUT_SECONDS):
            return await self.readers[index].read() == b""

    def close(self):
        """Close all connections."""
        for writer in self.writers:
            writer.close()


@pytest.fixture
async def clients():
    """Return clients of a server that takes three connections."""
    answers = asyncio.Event()

    async def answer(scope, receive, send):
        if scope["path"] == "/late":
            await answers.wait()
        await Response()(scope, receive, send)

    port = find_free_port()
    server = make_server(answer, HOST, port, 1.0, limit=ConnectionLimit(3))
    task = asyncio.create_task(server.serve())
    clients = Clients(port)
    clients.release = answers.set
    try:
        while not server.started:
            await asyncio.sleep(0.01)
        yield clients
    finally:
        clients.close()
        server.should_exit = True
        await task


class TestLimit:
    """Test which connection goes when another one comes."""

    async def test_oldest_idle_connection_goes_first(self, clients):
        await clients.connect(3)
        for index in (1, 2, 0):
            assert await clients.ask(index) == b"HTTP/1.1 200 OK"
        await clients.connect(1)
        assert await clients.is_closed(1)
        for index in (2, 0, 3):
            assert await clients.ask(index) == b"HTTP/1.1 200 OK"

    async def test_connection_without_a_request_goes(self, clients):
        await clients.connect(1)
        await clients.connect(2)
        assert await clients.ask(1) == b"HTTP/1.1 200 OK"
        await clients.connect(1)
        assert await clients.is_closed(0)
        assert await clients.ask(3) == b"HTTP/1.1 200 OK"

    async def test_connections_that_are_answered_stay(self, clients):
        """Guards against a request without an answer."""
        await clients.connect(3)
        for writer in clients.writers:
            writer.write(HEAD.replace(b"/ ", b"/late ", 1))
        await clients.connect(1)
        assert await clients.ask(3) == b"HTTP/1.1 200 OK"
        clients.release()
        for reader in clients.readers[:3]:
            assert await reader.readline() == b"HTTP/1.1 200 OK\r\n"


class TestManyIdleConnections:
    """Test an instance to which thousands of clients connect and say nothing."""

    CONNECTION_COUNT = 4_000
    # Both ends of each connection, and what the test itself opens.
    DESCRIPTORS = 3 * CONNECTION_COUNT

    @pytest.fixture(autouse=True)
    def raise_limit(self):
        """Let this process have the descriptors of the clients as well."""
        soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
        wanted = max(soft, self.DESCRIPTORS)
        resource.setrlimit(resource.RLIMIT_NOFILE, (wanted, hard))
        yield
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))

    async def count_open(self, clients):
        """Return how many connections the server has not closed."""
        return sum(not reader.at_eof() for reader in clients.readers)

    async def test_callers_the_balancer_and_operators_are_answered(self):
        metrics_address = f"{HOST}:{find_free_port()}"
        metrics_url = f"http://{metrics_address}/metrics/"
        async with run_deployment(0) as deployment:
            entry = await deployment.start_entry("e0", metrics_address=metrics_address)
            url = f"http://{entry.address}"
            clients = Clients(urlsplit(url).port)
            try:
                await clients.connect(self.CONNECTION_COUNT)
                headers = {"Host": QUEUE_HOST, "Authorization": f"Bearer {API_KEY}"}
                assert await deployment.submit(entry) == 200
                for path in (READY_PATH, PATH_PREFIX + JOB):
                    async with deployment.session.get(
                        url + path, headers=headers
                    ) as response:
                        assert response.status == 200
                async with deployment.session.get(metrics_url) as response:
                    assert b"baobablane_decisions" in await response.read()

                async def are_bounded():
                    return await self.count_open(clients) <= MAX_OPEN_CONNECTIONS

                await deployment.wait_for(are_bounded)
            finally:
                clients.close()
