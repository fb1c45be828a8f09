"""Bound the number of connections that a process's servers have open."""

import asyncio

# An entry instance has at least 3,900 descriptors for connections. The rest is for the
# store, the upstreams, and connections that are accepted before others have closed.
MAX_OPEN_CONNECTIONS = 2_500


class ConnectionLimit:
    """Close the connections that have been idle for longest when others come.

    It answers clients that connect and then say nothing: without it, they take all
    descriptors, and callers, readiness checks and metrics find none.
    """

    def __init__(self, max_open: int = MAX_OPEN_CONNECTIONS) -> None:
        """Start without connections."""
        self._max_open = max_open
        self._open: set[asyncio.Transport] = set()
        # In the order in which they became idle.
        self._idle: dict[asyncio.Transport, None] = {}

    def add(self, connection: asyncio.Transport) -> int:
        """Add a connection, which is idle, and return how many were closed for it.

        More than the maximum stay open while requests are answered on all others.
        """
        self._open.add(connection)
        closed_count = 0
        while len(self._open) > self._max_open and self._idle:
            oldest = next(iter(self._idle))
            self.remove(oldest)
            oldest.close()
            closed_count += 1
        self._idle[connection] = None
        return closed_count

    def remove(self, connection: asyncio.Transport) -> None:
        """Forget a connection that is closed."""
        self._open.discard(connection)
        self._idle.pop(connection, None)

    def note_busy(self, connection: asyncio.Transport) -> None:
        """Note that a request is being answered."""
        self._idle.pop(connection, None)

    def note_idle(self, connection: asyncio.Transport) -> None:
        """Note that no request is being answered any more, unless that is known."""
        if connection in self._open:
            self._idle.setdefault(connection, None)
