"""Bound what the connections of a process's servers hold together."""

from typing import Protocol

BYTES_PER_MB = 1024 * 1024
# An entry instance has at least 3,900 descriptors for connections. The rest is for the
# store, the upstreams, and connections that are accepted before others have closed.
MAX_OPEN_CONNECTIONS = 2_500
# Connections beyond the maximum while requests are answered on all others.
MIN_EXTRA_CONNECTIONS = 16
EXTRA_SHARE = 0.2
# A head of the usual largest size, or a job of some hundred steps. It is part of what a
# connection costs, and not counted.
FREE_BYTES = 16 * 1024
# With the objects that serve a connection.
CONNECTION_BYTES = FREE_BYTES + 32 * 1024
# Of the memory: for connections, and for what they hold beyond the free bytes, which
# takes up to four times its size while it is decoded and stored.
CONNECTIONS_MEMORY_SHARE = 0.4
HELD_MEMORY_SHARE = 1 / 16
CONNECTIONS_DESCRIPTOR_SHARE = 5 / 8
# The smallest machine of the users.
DEFAULT_MEMORY_MB = 300.0


class Connection(Protocol):
    """Serve one client."""

    def evict(self) -> None:
        """Close the connection, with a rejection if a request is arriving."""


class ConnectionLimit:
    """End connections that wait for their clients when all together hold too much.

    Load pattern: many clients each stay within what one may send, but stop before the
    end of a request, don't read responses, or say nothing. Whoever has stood still for
    longest goes first: the newest may be an ordinary caller. A connection whose
    request has arrived as a whole is never ended for others.
    """

    def __init__(
        self,
        max_open: int = MAX_OPEN_CONNECTIONS,
        max_held_bytes: float = DEFAULT_MEMORY_MB * BYTES_PER_MB * HELD_MEMORY_SHARE,
    ) -> None:
        """Start without connections."""
        self.max_open = max_open
        self._max_held_bytes = max_held_bytes
        self._open: set[Connection] = set()
        # Those that wait for their clients, in the order of their latest progress.
        self._waiting: dict[Connection, None] = {}
        # Beyond the free bytes; connections without any are missing.
        self._held_bytes: dict[Connection, int] = {}
        self._all_held_bytes = 0

    def add(self, connection: Connection) -> None:
        """Add a connection, and end others if there are too many.

        While requests are answered on all of them, some more may be open.
        """
        self._open.add(connection)
        while len(self._open) > self.max_open and self._waiting:
            self._evict(next(iter(self._waiting)))
        self._waiting[connection] = None
        extra = max(MIN_EXTRA_CONNECTIONS, int(self.max_open * EXTRA_SHARE))
        if len(self._open) > self.max_open + extra:
            self._evict(connection)

    def remove(self, connection: Connection) -> None:
        """Forget a connection that is closed."""
        self._open.discard(connection)
        self._waiting.pop(connection, None)
        self._set_held(connection, 0)

    def note_busy(self, connection: Connection) -> None:
        """Note that a request that has arrived as a whole is being answered."""
        self._waiting.pop(connection, None)

    def note_waiting(self, connection: Connection, has_progressed: bool) -> None:
        """Note that the client is to send or read something, unless that is known.

        `has_progressed` tells that it has just done so.
        """
        if connection not in self._open:
            return
        if has_progressed:
            self._waiting.pop(connection, None)
        self._waiting.setdefault(connection, None)

    def hold(self, connection: Connection, size_bytes: int) -> None:
        """Note what a connection holds, and end others while that is too much.

        One alone may hold any amount.
        """
        held_bytes = max(0, size_bytes - FREE_BYTES)
        if connection in self._open:
            self._set_held(connection, held_bytes)
        while self._all_held_bytes > self._max_held_bytes and len(self._held_bytes) > 1:
            oldest = next((c for c in self._waiting if c in self._held_bytes), None)
            if oldest is None:
                return
            self._evict(oldest)

    def _set_held(self, connection: Connection, held_bytes: int) -> None:
        self._all_held_bytes += held_bytes - self._held_bytes.pop(connection, 0)
        if held_bytes:
            self._held_bytes[connection] = held_bytes

    def _evict(self, connection: Connection) -> None:
        self.remove(connection)
        connection.evict()


def derive_limit(memory_mb: float, descriptors: int) -> ConnectionLimit:
    """Return the limit for a process with so much memory and so many descriptors."""
    memory_bytes = memory_mb * BYTES_PER_MB
    max_open = min(
        MAX_OPEN_CONNECTIONS,
        int(descriptors * CONNECTIONS_DESCRIPTOR_SHARE),
        int(memory_bytes * CONNECTIONS_MEMORY_SHARE / CONNECTION_BYTES),
    )
    return ConnectionLimit(max(1, max_open), memory_bytes * HELD_MEMORY_SHARE)
