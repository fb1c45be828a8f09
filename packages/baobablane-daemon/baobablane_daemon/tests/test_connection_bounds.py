"""Test connections on which no whole request arrives.

Each held a descriptor for as long as the process ran.
"""

import asyncio
import socket

import pytest
from baobablane_standin.platform._deployment import HOST
from starlette.requests import Request
from starlette.responses import Response

from baobablane_daemon._bounded_connection import (
    FIRST_REQUEST_SECONDS,
    REQUEST_SECONDS,
    UNREAD_SECONDS,
)
from baobablane_daemon._client_probe import UNACKNOWLEDGED_MS
from baobablane_daemon._serving import KEEP_ALIVE_SECONDS, make_server
from baobablane_daemon.jobs.tests.virtual_time import run_in_virtual_time

from .platform_deployment import find_free_port

HEAD = b"GET / HTTP/1.1\r\nHost: q.example\r\n\r\n"
POST_HEAD = b"POST / HTTP/1.1\r\nHost: q.example\r\nContent-Length: 10\r\n\r\n"
# Rounding of the timers, and the interval at which the server looks at its state.
SLACK_SECONDS = 0.2
# Of virtual time; longer than any scenario takes.
HANG_SECONDS = 3 * KEEP_ALIVE_SECONDS


def run(scenario, app=None, **options):
    """Run a scenario with a function that connects to a server."""

    async def answer(scope, receive, send):
        await Response()(scope, receive, send)

    async def run_scenario():
        port = find_free_port()
        server = make_server(app or answer, HOST, port, 1.0, **options)
        task = asyncio.create_task(server.serve())
        writers = []

        async def connect():
            reader, writer = await asyncio.open_connection(HOST, port)
            writers.append(writer)
            return reader, writer

        try:
            while not server.started:
                await asyncio.sleep(0.01)
            async with asyncio.timeout(HANG_SECONDS):
                await scenario(connect, server)
        finally:
            for writer in writers:
                writer.close()
            server.should_exit = True
            await task

    run_in_virtual_time(run_scenario())


async def read_response(reader):
    """Return the status line of a response with an empty body."""
    head = await reader.readuntil(b"\r\n\r\n")
    return head.partition(b"\r\n")[0]


async def read_all(reader):
    """Return what the server sends until it closes, and after how many seconds."""
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    return await reader.read(), loop.time() - started_at


class TestNoRequest:
    """Test connections on which a request never comes, or only a part of it."""

    def test_connection_without_a_byte_is_closed(self):
        async def scenario(connect, server):
            reader, _ = await connect()
            sent, seconds = await read_all(reader)
            assert sent == b""
            assert seconds == pytest.approx(FIRST_REQUEST_SECONDS, abs=SLACK_SECONDS)

        run(scenario)

    @pytest.mark.parametrize("part", [HEAD[:1], HEAD[:-2]])
    def test_head_that_stops_is_answered_and_closed(self, part):
        async def scenario(connect, server):
            reader, writer = await connect()
            writer.write(part)
            sent, seconds = await read_all(reader)
            assert sent.startswith(b"HTTP/1.1 408 ")
            assert b"connection: close\r\n" in sent
            assert seconds == pytest.approx(REQUEST_SECONDS, abs=SLACK_SECONDS)

        run(scenario)

    def test_head_that_trickles_is_closed_as_well(self):
        """Guards against a bound that each byte begins anew."""

        async def scenario(connect, server):
            reader, writer = await connect()
            reading = asyncio.create_task(read_all(reader))
            for byte in HEAD:
                if reading.done():
                    break
                writer.write(bytes([byte]))
                await asyncio.sleep(1.0)
            _, seconds = await reading
            assert seconds <= REQUEST_SECONDS + 1.0

        run(scenario)

    def test_next_head_that_stops_is_closed(self):
        async def scenario(connect, server):
            reader, writer = await connect()
            writer.write(HEAD + HEAD[:-2])
            assert await read_response(reader) == b"HTTP/1.1 200 OK"
            sent, seconds = await read_all(reader)
            assert sent.startswith(b"HTTP/1.1 408 ")
            assert seconds == pytest.approx(REQUEST_SECONDS, abs=SLACK_SECONDS)

        run(scenario)

    def test_body_that_stops_after_its_response_is_closed(self):
        async def scenario(connect, server):
            reader, writer = await connect()
            writer.write(POST_HEAD + b"12")
            assert await read_response(reader) == b"HTTP/1.1 200 OK"
            sent, seconds = await read_all(reader)
            assert sent == b""
            assert seconds == pytest.approx(REQUEST_SECONDS, abs=SLACK_SECONDS)

        run(scenario)

    def test_head_that_stops_after_an_unread_body_is_answered_and_closed(self):
        async def scenario(connect, server):
            reader, writer = await connect()
            writer.write(POST_HEAD)
            assert await read_response(reader) == b"HTTP/1.1 200 OK"
            writer.write(bytes(10))
            await asyncio.sleep(1.0)
            writer.write(HEAD[:-2])
            sent, seconds = await read_all(reader)
            assert sent.startswith(b"HTTP/1.1 408 ")
            assert seconds == pytest.approx(REQUEST_SECONDS, abs=SLACK_SECONDS)

        run(scenario)

    def test_head_that_ends_in_time_is_answered(self):
        async def scenario(connect, server):
            reader, writer = await connect()
            await asyncio.sleep(FIRST_REQUEST_SECONDS - 1.0)
            writer.write(HEAD[:-2])
            await asyncio.sleep(REQUEST_SECONDS - 1.0)
            writer.write(HEAD[-2:])
            assert await read_response(reader) == b"HTTP/1.1 200 OK"

        run(scenario)


class TestKeptConnections:
    """Test connections that these bounds must not end."""

    def test_idle_connection_is_kept_after_a_response(self):
        """Guards against a close that meets the next request."""

        async def scenario(connect, server):
            reader, writer = await connect()
            for _ in range(2):
                writer.write(HEAD)
                assert await read_response(reader) == b"HTTP/1.1 200 OK"
                await asyncio.sleep(KEEP_ALIVE_SECONDS - 1.0)

        run(scenario)

    def test_idle_connection_is_kept_after_an_unread_body(self):
        async def scenario(connect, server):
            reader, writer = await connect()
            writer.write(POST_HEAD)
            assert await read_response(reader) == b"HTTP/1.1 200 OK"
            writer.write(bytes(10))
            await asyncio.sleep(KEEP_ALIVE_SECONDS - 1.0)
            writer.write(HEAD)
            assert await read_response(reader) == b"HTTP/1.1 200 OK"

        run(scenario)

    def test_idle_connection_is_closed_in_the_end(self):
        async def scenario(connect, server):
            reader, writer = await connect()
            writer.write(POST_HEAD)
            assert await read_response(reader) == b"HTTP/1.1 200 OK"
            writer.write(bytes(10))
            _, seconds = await read_all(reader)
            assert seconds == pytest.approx(KEEP_ALIVE_SECONDS, abs=SLACK_SECONDS)

        run(scenario)

    def test_request_that_is_being_answered_is_finished(self):
        async def answer_late(scope, receive, send):
            await asyncio.sleep(10 * FIRST_REQUEST_SECONDS)
            await Request(scope, receive).body()
            await Response()(scope, receive, send)

        async def scenario(connect, server):
            reader, writer = await connect()
            writer.write(POST_HEAD + bytes(10) + HEAD[:-2])
            assert await read_response(reader) == b"HTTP/1.1 200 OK"

        run(scenario, answer_late)

    @pytest.mark.parametrize("part", [b"", HEAD[:-2]])
    def test_request_that_came_while_the_process_was_stopped_is_answered(self, part):
        async def scenario(connect, server):
            reader, writer = await connect()
            writer.write(part)
            await asyncio.sleep(1.0)
            asyncio.get_running_loop().freeze(10 * FIRST_REQUEST_SECONDS)
            writer.write(HEAD[len(part) :])
            assert await read_response(reader) == b"HTTP/1.1 200 OK"

        run(scenario)


class TestUnreadResponses:
    """Test clients that don't take their responses."""

    # More than kernels keep for one connection.
    RESPONSE_BYTES = 32 * 1024 * 1024

    async def respond(self, scope, receive, send):
        """Send a large response."""
        await Response(bytes(self.RESPONSE_BYTES))(scope, receive, send)

    def test_connection_ends_after_a_time(self):
        async def scenario(connect, server):
            _, writer = await connect()
            writer.transport.pause_reading()
            loop = asyncio.get_running_loop()
            started_at = loop.time()
            writer.write(HEAD)
            while not server.server_state.connections:
                await asyncio.sleep(0.01)
            while server.server_state.connections:
                await asyncio.sleep(0.1)
            seconds = loop.time() - started_at
            assert seconds == pytest.approx(UNREAD_SECONDS, abs=SLACK_SECONDS)

        run(scenario, self.respond)

    def test_slow_reader_gets_all_of_it(self):
        async def scenario(connect, server):
            reader, writer = await connect()
            writer.write(HEAD)
            await reader.readuntil(b"\r\n\r\n")
            for _ in range(8):
                await asyncio.sleep(UNREAD_SECONDS / 2)
                await reader.readexactly(self.RESPONSE_BYTES // 8)

        run(scenario, self.respond)

    def test_requests_behind_it_are_not_begun(self):
        """Guards against memory for requests whose responses nobody reads."""
        begun = []

        async def respond(scope, receive, send):
            begun.append(scope["path"])
            await self.respond(scope, receive, send)

        async def scenario(connect, server):
            _, writer = await connect()
            writer.transport.pause_reading()
            writer.write(HEAD * 1000)
            await asyncio.sleep(UNREAD_SECONDS / 2)
            assert begun == ["/"]

        run(scenario, respond)


class TestDeadClients:
    """Test the options by which the kernel finds clients that are gone."""

    def test_connections_are_probed(self):
        """Guards against connections of clients that lost power, which stay open."""

        async def scenario(connect, server):
            await connect()
            await asyncio.sleep(0.1)
            (connection,) = server.server_state.connections
            probed = connection.transport.get_extra_info("socket")
            assert probed.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE) == 1
            unacknowledged_ms = probed.getsockopt(
                socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT
            )
            assert unacknowledged_ms == UNACKNOWLEDGED_MS

        run(scenario)
