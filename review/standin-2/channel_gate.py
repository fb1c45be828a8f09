"""Stand before an executor that takes a limited number of channels."""

import asyncio
import socket
import struct
from contextlib import suppress

HOST = "127.0.0.1"
CHUNK_BYTES = 65_536
# Makes the close of a connection reset it: linger for 0 s.
RESET = struct.pack("ii", 1, 0)


class ChannelGate:
    """Forward connections to an executor, and reset those beyond its channels.

    A machine that loses power closes nothing, so its channels stay open here.
    """

    def __init__(self, target: str, channels: int) -> None:
        """Forward to `target`; `start` must be called next."""
        self._target = target
        self._channels = channels
        self.address = ""
        # Channels whose machine has lost power.
        self.dead_count = 0
        self.reset_count = 0
        self._open: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{HOST}:{port}"

    async def close(self) -> None:
        """Stop listening, and end all connections."""
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def lose_peer(self) -> None:
        """Keep the channels that are open, as their machine has lost power.

        Only the owner calls executors, so all of them are its own.
        """
        self.dead_count += len(self._open)
        self._open.clear()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.dead_count + len(self._open) >= self._channels:
            self.reset_count += 1
            writer.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, RESET
            )
            writer.transport.abort()
            return
        self._open.add(writer)
        host, _, port = self._target.partition(":")
        back_reader, back_writer = await asyncio.open_connection(host, int(port))
        for source, sink in ((reader, back_writer), (back_reader, writer)):
            task = asyncio.ensure_future(self._forward(source, sink, writer))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _forward(
        self,
        source: asyncio.StreamReader,
        sink: asyncio.StreamWriter,
        channel: asyncio.StreamWriter,
    ) -> None:
        with suppress(OSError):
            while data := await source.read(CHUNK_BYTES):
                sink.write(data)
                await sink.drain()
        self._open.discard(channel)
        sink.close()
