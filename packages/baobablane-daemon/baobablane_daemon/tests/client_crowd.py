"""Open connections that keep to no limit, and watch the process that serves them."""

import asyncio
import itertools
import socket
from contextlib import asynccontextmanager, suppress
from pathlib import Path

POLL_INTERVAL_SECONDS = 0.02
# A crowd of which nothing moves for this time has come to rest.
REST_SECONDS = 1.0
PIECE_BYTES = 64 * 1024
BYTES_PER_KIB = 1024


class CrowdClient(asyncio.Protocol):
    """Send bytes over one connection, and read nothing unless told to."""

    def __init__(self, reads):
        """Start before the connection is open."""
        self._reads = reads
        self._writable = asyncio.Event()
        self._writable.set()
        self.transport = None
        self.received = b""
        self.sent_bytes = 0
        self.is_closed = False
        self.has_sent_all = False

    def connection_made(self, transport):
        self.transport = transport
        # What the kernel takes must not look as if the server had.
        client = transport.get_extra_info("socket")
        client.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, PIECE_BYTES)
        if not self._reads:
            transport.pause_reading()

    def data_received(self, data):
        self.received += data

    def pause_writing(self):
        self._writable.clear()

    def resume_writing(self):
        self._writable.set()

    def connection_lost(self, error):
        self.is_closed = True
        self._writable.set()

    async def send(self, pieces):
        """Send pieces until there are no more, or the connection is closed."""
        for piece in pieces:
            if self.is_closed:
                return
            self.transport.write(piece)
            await self._writable.wait()
            self.sent_bytes += len(piece)
            # The server's close is noticed between two pieces.
            await asyncio.sleep(0)
        self.has_sent_all = not self.is_closed

    @property
    def status(self):
        """Return the status code of the first response, or 0 without one."""
        words = self.received[:16].split(b" ")
        return int(words[1]) if len(words) > 1 else 0


class Crowd:
    """Own clients that all do the same."""

    def __init__(self, address):
        """Start without clients."""
        host, _, port = address.rpartition(":")
        self._host, self._port = host, int(port)
        self.clients = []
        self._tasks = []

    async def play(self, numbers, pieces_of, reads=True):
        """Send what `pieces_of` each client's number returns; wait until all rest.

        Clients that have sent everything keep their connections open.
        """
        loop = asyncio.get_running_loop()
        for number in numbers:
            with suppress(ConnectionError):
                _, client = await loop.create_connection(
                    lambda: CrowdClient(reads), self._host, self._port
                )
                self.clients.append(client)
                self._tasks.append(loop.create_task(client.send(pieces_of(number))))
        await self._rest()

    async def _rest(self):
        loop = asyncio.get_running_loop()
        seen, since = None, loop.time()
        while not all(task.done() for task in self._tasks):
            moved = [
                (client.sent_bytes, len(client.received), client.is_closed)
                for client in self.clients
            ]
            if moved != seen:
                seen, since = moved, loop.time()
            elif loop.time() - since > REST_SECONDS:
                return
            await asyncio.sleep(POLL_INTERVAL_SECONDS)

    def close(self):
        """Break all connections off."""
        for task in self._tasks:
            task.cancel()
        for client in self.clients:
            client.transport.abort()


class ProcessWatch:
    """Note the peaks of a process's memory and open descriptors."""

    def __init__(self, process):
        """Watch an asyncio subprocess."""
        self._process = process
        self._folder = Path("/proc") / str(process.pid)
        self.most_descriptors = 0

    async def run(self):
        """Count open descriptors until cancelled."""
        while True:
            with suppress(OSError):
                count = sum(1 for _ in (self._folder / "fd").iterdir())
                self.most_descriptors = max(self.most_descriptors, count)
            await asyncio.sleep(POLL_INTERVAL_SECONDS)

    def peak_bytes(self):
        """Return the largest resident memory that the process ever had."""
        lines = (self._folder / "status").read_text().splitlines()
        (line,) = (line for line in lines if line.startswith("VmHWM:"))
        return int(line.split()[1]) * BYTES_PER_KIB

    def is_alive(self):
        """Return whether the process has not ended."""
        return self._process.returncode is None


@asynccontextmanager
async def watch(process):
    """Watch a process for as long as the context lasts."""
    watched = ProcessWatch(process)
    task = asyncio.create_task(watched.run())
    try:
        yield watched
    finally:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)


def repeat(head, part, total_bytes):
    """Return the pieces of a head and of as many repetitions of a part as fit."""
    piece = part * max(1, PIECE_BYTES // len(part))
    return itertools.chain([head], itertools.repeat(piece, total_bytes // len(piece)))
