"""Test the faults of links over loopback."""

import asyncio
import os
from contextlib import asynccontextmanager

import pytest

from soak._client_finder import make_client_finder
from soak._link_proxy import HOST, LinkProxy

# Far longer than any step here takes, so only a hang reaches it.
HANG_SECONDS = 60.0
HELLO = b"hello\n"


@asynccontextmanager
async def open_link(find_client=lambda *ports: "client"):
    """Connect through a proxy to a server that repeats lines, and keep these."""
    lines = []

    async def repeat(reader, writer):
        while line := await reader.readline():
            lines.append(line)
            writer.write(line)
        writer.close()

    server = await asyncio.start_server(repeat, HOST, 0)
    address = f"{HOST}:{server.sockets[0].getsockname()[1]}"
    proxy = LinkProxy(address, find_client)
    await proxy.start()
    reader, writer = await _connect(proxy)
    try:
        async with asyncio.timeout(HANG_SECONDS):
            yield proxy, reader, writer, lines
    finally:
        writer.close()
        await proxy.close()
        server.close()


async def _connect(proxy):
    host, _, port = proxy.address.partition(":")
    return await asyncio.open_connection(host, int(port))


class TestHeldLinks:
    """Test links that hold what is sent."""

    @pytest.mark.parametrize("kind", ["cut-requests", "cut-responses", "silence"])
    async def test_held_bytes_arrive_after_the_fault(self, kind):
        async with open_link() as (proxy, reader, writer, lines):
            proxy.begin(kind)
            writer.write(HELLO)
            answer = asyncio.ensure_future(reader.readline())
            if kind == "cut-responses":
                while not lines:
                    await asyncio.sleep(0)
            # Another link shows that there was time for an answer.
            async with open_link() as (_, other_reader, other_writer, _):
                other_writer.write(HELLO)
                assert await other_reader.readline() == HELLO
            assert not answer.done()
            assert lines == ([HELLO] if kind == "cut-responses" else [])
            proxy.end(kind)
            assert await answer == HELLO

    async def test_fault_of_another_client_holds_nothing(self):
        async with open_link() as (proxy, reader, writer, _):
            proxy.begin("silence", "other")
            proxy.reset("other")
            writer.write(HELLO)
            assert await reader.readline() == HELLO

    async def test_client_is_found_by_its_ports(self):
        pids = {"nobody": 0, "tests": os.getpid()}
        finder = make_client_finder(lambda: pids)
        async with open_link(finder) as (proxy, reader, writer, _):
            writer.write(HELLO)
            assert await reader.readline() == HELLO
            proxy.reset("nobody")
            writer.write(HELLO)
            assert await reader.readline() == HELLO
            proxy.reset("tests")
            with pytest.raises(ConnectionResetError):
                await reader.readline()

    @pytest.mark.parametrize("kind", ["delay", "trickle"])
    async def test_slow_bytes_arrive_whole(self, kind):
        async with open_link() as (proxy, reader, writer, _):
            proxy.begin(kind)
            line = b"x" * 300 + b"\n"
            writer.write(line)
            assert await reader.readline() == line


class TestLostConnections:
    """Test connections that end or lead nowhere."""

    async def test_reset_ends_connections(self):
        async with open_link() as (proxy, reader, writer, _):
            writer.write(HELLO)
            assert await reader.readline() == HELLO
            proxy.reset()
            with pytest.raises(ConnectionResetError):
                await reader.readline()

    async def test_dark_link_never_delivers(self):
        async with open_link() as (proxy, reader, writer, lines):
            writer.write(HELLO)
            assert await reader.readline() == HELLO
            proxy.go_dark()
            writer.write(b"lost\n")
            proxy.return_from_dark()
            with pytest.raises(ConnectionResetError):
                await reader.readline()
            new_reader, new_writer = await _connect(proxy)
            new_writer.write(HELLO)
            assert await new_reader.readline() == HELLO
            assert lines == [HELLO, HELLO]
            new_writer.close()

    async def test_connection_that_was_closed_in_the_dark_is_no_error(self):
        async with open_link() as (proxy, reader, writer, _):
            writer.write(HELLO)
            assert await reader.readline() == HELLO
            proxy.go_dark()
            inner = next(iter(proxy._client_by_writer))
            inner.transport.abort()
            while inner.get_extra_info("socket").fileno() >= 0:
                await asyncio.sleep(0)
            proxy.return_from_dark()
