"""Forward connections on loopback, and disturb them."""

import asyncio
import socket
import struct
from collections import Counter
from contextlib import suppress

HOST = "127.0.0.1"
CHUNK_BYTES = 65_536
DELAY_SECONDS = 0.3
TRICKLE_BYTES = 64
TRICKLE_INTERVAL_SECONDS = 0.02
# Makes the close of a connection reset it: linger for 0 s.
LINGER_NOT = struct.pack("ii", 1, 0)
REQUESTS, RESPONSES = "requests", "responses"
HOLDING_KINDS = {
    REQUESTS: ("cut-requests", "silence"),
    RESPONSES: ("cut-responses", "silence"),
}


class LinkProxy:
    """Forward the connections of one link.

    What is cut is held and delivered late, as by a network that retransmits. While the
    link is dark, connections are accepted and nothing that arrives is ever delivered.
    """

    def __init__(self, target: str) -> None:
        """Forward to the address `target`; `start` must be called next."""
        self.target = target
        self.address = ""
        # How many faults of each kind are in force.
        self._active: Counter[str] = Counter()
        self._change = asyncio.Event()
        self._is_dark = False
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.address = f"{HOST}:{self._server.sockets[0].getsockname()[1]}"

    async def close(self) -> None:
        """Stop listening and end all connections."""
        if self._server is not None:
            self._server.close()
        self.reset()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def begin(self, kind: str) -> None:
        """Begin a fault of a kind."""
        self._active[kind] += 1
        self._notify()

    def end(self, kind: str) -> None:
        """End a fault of a kind."""
        self._active[kind] -= 1
        self._notify()

    def reset(self) -> None:
        """Reset all connections; what is on its way is lost."""
        for writer in list(self._writers):
            self._abort(writer)
        for task in self._tasks:
            task.cancel()

    def go_dark(self) -> None:
        """Leave all connections open, and deliver nothing any more."""
        self._is_dark = True
        for task in self._tasks:
            task.cancel()

    def return_from_dark(self) -> None:
        """Reset what was open while the link was dark, and forward again."""
        if self._is_dark:
            self._is_dark = False
            self.reset()

    def _notify(self) -> None:
        self._change.set()
        self._change = asyncio.Event()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        if self._is_dark:
            return
        host, _, port = self.target.partition(":")
        try:
            back_reader, back_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            self._abort(writer)
            return
        self._writers.add(back_writer)
        for direction, source, sink in (
            (REQUESTS, reader, back_writer),
            (RESPONSES, back_reader, writer),
        ):
            task = asyncio.ensure_future(self._forward(direction, source, sink))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    def _abort(self, writer: asyncio.StreamWriter) -> None:
        self._writers.discard(writer)
        connection = writer.get_extra_info("socket")
        # It is closed already if the other side ended it while the link was dark.
        with suppress(OSError):
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_NOT)
        writer.transport.abort()

    async def _forward(
        self,
        direction: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        with suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                if self._active["delay"]:
                    await asyncio.sleep(DELAY_SECONDS)
                while any(self._active[kind] for kind in HOLDING_KINDS[direction]):
                    await self._change.wait()
                while self._active["trickle"] and len(data) > TRICKLE_BYTES:
                    writer.write(data[:TRICKLE_BYTES])
                    data = data[TRICKLE_BYTES:]
                    await asyncio.sleep(TRICKLE_INTERVAL_SECONDS)
                writer.write(data)
                await writer.drain()
        self._writers.discard(writer)
        writer.close()
