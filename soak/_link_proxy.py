"""Forward connections on loopback, and disturb them."""

import asyncio
import socket
import struct
from collections import Counter
from collections.abc import Callable
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
    A fault may apply to the connections of one client alone.
    """

    def __init__(
        self,
        target: str,
        find_client: Callable[[int, int], str] = lambda port, server_port: "",
    ) -> None:
        """Forward to the address `target`; `start` must be called next.

        `find_client` names the client of a connection between two ports.
        """
        self.target = target
        self._find_client = find_client
        self.address = ""
        self._port = 0
        # How many faults of each kind are in force, by client; "" is all of them.
        self._active: Counter[tuple[str, str]] = Counter()
        self._change = asyncio.Event()
        self._is_dark = False
        self._server: asyncio.Server | None = None
        # The client of each task that forwards.
        self._tasks: dict[asyncio.Task[None], str] = {}
        # The client of each open connection, for both of its sides.
        self._client_by_writer: dict[asyncio.StreamWriter, str] = {}

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self._port = self._server.sockets[0].getsockname()[1]
        self.address = f"{HOST}:{self._port}"

    async def close(self) -> None:
        """Stop listening and end all connections."""
        if self._server is not None:
            self._server.close()
        self.reset()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def begin(self, kind: str, client: str = "") -> None:
        """Begin a fault of a kind, for all clients or one."""
        self._active[kind, client] += 1
        self._notify()

    def end(self, kind: str, client: str = "") -> None:
        """End a fault of a kind, for all clients or one."""
        self._active[kind, client] -= 1
        self._notify()

    def reset(self, client: str = "") -> None:
        """Reset the connections of all clients or one; what is on its way is lost."""
        for writer, name in list(self._client_by_writer.items()):
            if client in ("", name):
                self._abort(writer)
        for task, name in self._tasks.items():
            if client in ("", name):
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

    def _has(self, kind: str, client: str) -> bool:
        return bool(self._active[kind, ""] or (client and self._active[kind, client]))

    def _notify(self) -> None:
        self._change.set()
        self._change = asyncio.Event()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        # The connection may have ended before it was accepted.
        _, client_port = writer.get_extra_info("peername") or ("", 0)
        client = self._find_client(client_port, self._port)
        self._client_by_writer[writer] = client
        if self._is_dark:
            return
        host, _, port = self.target.partition(":")
        try:
            back_reader, back_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            self._abort(writer)
            return
        self._client_by_writer[back_writer] = client
        for direction, source, sink in (
            (REQUESTS, reader, back_writer),
            (RESPONSES, back_reader, writer),
        ):
            task = asyncio.ensure_future(self._forward(direction, source, sink, client))
            self._tasks[task] = client
            task.add_done_callback(self._tasks.pop)

    def _abort(self, writer: asyncio.StreamWriter) -> None:
        self._client_by_writer.pop(writer, None)
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
        client: str,
    ) -> None:
        with suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                if self._has("delay", client):
                    await asyncio.sleep(DELAY_SECONDS)
                while any(self._has(kind, client) for kind in HOLDING_KINDS[direction]):
                    await self._change.wait()
                while self._has("trickle", client) and len(data) > TRICKLE_BYTES:
                    writer.write(data[:TRICKLE_BYTES])
                    data = data[TRICKLE_BYTES:]
                    await asyncio.sleep(TRICKLE_INTERVAL_SECONDS)
                writer.write(data)
                await writer.drain()
        self._client_by_writer.pop(writer, None)
        writer.close()
