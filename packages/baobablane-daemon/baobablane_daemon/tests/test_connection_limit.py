"""Test an entry instance to which more clients connect than it has descriptors for.

Idle connections held all of them, and neither callers nor the balancer got in.
"""

import asyncio
import resource
from urllib.parse import urlsplit

import pytest
from baobablane_standin.platform import PATH_PREFIX
from baobablane_standin.platform._deployment import API_KEY, HOST, QUEUE_HOST
from starlette.requests import Request
from starlette.responses import Response

from baobablane_daemon._connection_limit import (
    DEFAULT_MEMORY_MB,
    FREE_BYTES,
    MAX_OPEN_CONNECTIONS,
    MIN_EXTRA_CONNECTIONS,
    ConnectionLimit,
    derive_limit,
)
from baobablane_daemon._serving import make_server

from .platform_deployment import JOB, READY_PATH, find_free_port, run_deployment

HEAD = b"GET / HTTP/1.1\r\nHost: q.example\r\n\r\n"
HANG_TIMEOUT_SECONDS = 60.0
# Of the users' smallest machine.
DEFAULT_DESCRIPTORS = 4_100


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


class FakeConnection:
    """Note whether it was ended."""

    def __init__(self, limit):
        """Open the connection."""
        self.is_evicted = False
        limit.add(self)

    def evict(self):
        """End the connection."""
        self.is_evicted = True


class TestHeldBytes:
    """Test which connection goes when all together hold too much."""

    MAX_HELD_BYTES = 100_000

    def make(self, count, max_open=100):
        """Return a limit and connections."""
        limit = ConnectionLimit(max_open, self.MAX_HELD_BYTES)
        return limit, [FakeConnection(limit) for _ in range(count)]

    def test_connection_that_has_stood_still_for_longest_goes_first(self):
        limit, (first, second, third) = self.make(3)
        for connection in (first, second):
            limit.hold(connection, FREE_BYTES + self.MAX_HELD_BYTES // 2)
        limit.note_waiting(first, has_progressed=True)
        limit.hold(third, FREE_BYTES + 1)
        evicted = [c.is_evicted for c in (first, second, third)]
        assert evicted == [False, True, False]

    def test_connection_that_holds_little_stays(self):
        limit, (idle, first, second) = self.make(3)
        limit.hold(idle, FREE_BYTES)
        for connection in (first, second):
            limit.hold(connection, FREE_BYTES + self.MAX_HELD_BYTES)
        assert [idle.is_evicted, first.is_evicted] == [False, True]
        assert not second.is_evicted

    def test_one_alone_may_hold_any_amount(self):
        """Guards against a limit that refuses a single request in calm."""
        limit, (first, _) = self.make(2)
        limit.hold(first, 100 * self.MAX_HELD_BYTES)
        assert not first.is_evicted

    def test_whole_request_is_never_ended(self):
        limit, (first, second) = self.make(2)
        limit.hold(first, FREE_BYTES + self.MAX_HELD_BYTES)
        limit.note_busy(first)
        limit.hold(second, FREE_BYTES + 1)
        assert [first.is_evicted, second.is_evicted] == [False, True]

    def test_what_is_released_counts_no_more(self):
        limit, connections = self.make(3)
        first, second, third = connections
        limit.hold(first, FREE_BYTES + self.MAX_HELD_BYTES)
        limit.hold(first, 0)
        limit.hold(second, FREE_BYTES + self.MAX_HELD_BYTES)
        limit.remove(second)
        limit.hold(third, FREE_BYTES + self.MAX_HELD_BYTES)
        assert not any(connection.is_evicted for connection in connections)

    def test_some_more_are_open_while_all_are_answered(self):
        limit, connections = self.make(3, max_open=3)
        for connection in connections:
            limit.note_busy(connection)
        for _ in range(MIN_EXTRA_CONNECTIONS):
            connection = FakeConnection(limit)
            limit.note_busy(connection)
            assert not connection.is_evicted
        assert FakeConnection(limit).is_evicted


class TestDerivedLimit:
    """Test the limits of machines of different sizes."""

    def test_smallest_machine_of_the_users_has_all_connections(self):
        limit = derive_limit(DEFAULT_MEMORY_MB, DEFAULT_DESCRIPTORS)
        assert limit.max_open == MAX_OPEN_CONNECTIONS

    def test_small_machine_has_fewer(self):
        assert derive_limit(DEFAULT_MEMORY_MB, 512).max_open == 320
        assert derive_limit(30, DEFAULT_DESCRIPTORS).max_open == 256


class TestStalledBodies:
    """Test bodies that stop short or trickle, over connections."""

    BODY_BYTES = 60_000

    def post(self, size):
        """Return the head of a request with a body."""
        return b"POST / HTTP/1.1\r\nHost: q\r\nContent-Length: %d\r\n\r\n" % size

    async def test_they_are_rejected_for_a_body_that_goes_on(self):
        """Guards against a byte a second that makes a client look alive."""

        async def answer(scope, receive, send):
            await Request(scope, receive).body()
            await Response()(scope, receive, send)

        port = find_free_port()
        limit = ConnectionLimit(100, 1.5 * self.BODY_BYTES)
        server = make_server(answer, HOST, port, 1.0, limit=limit)
        task = asyncio.create_task(server.serve())
        clients = Clients(port)
        try:
            while not server.started:
                await asyncio.sleep(0.01)
            await clients.connect(4)
            part = self.post(self.BODY_BYTES) + bytes(self.BODY_BYTES // 2)
            for writer in clients.writers[:3]:
                writer.write(part)
                await asyncio.sleep(0.05)
            # The first one trickles, the second one goes on.
            clients.writers[0].write(b"x")
            clients.writers[1].write(bytes(self.BODY_BYTES // 2 - 1))
            await asyncio.sleep(0.05)
            clients.writers[3].write(
                self.post(self.BODY_BYTES) + bytes(self.BODY_BYTES)
            )
            async with asyncio.timeout(HANG_TIMEOUT_SECONDS):
                head = await clients.readers[0].read()
                assert head.startswith(b"HTTP/1.1 503 ")
                assert b"retry-after: 1\r\n" in head
                clients.writers[1].write(b"x")
                for index in (1, 3):
                    status = await clients.readers[index].readline()
                    assert status == b"HTTP/1.1 200 OK\r\n"
        finally:
            clients.close()
            server.should_exit = True
            await task


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
