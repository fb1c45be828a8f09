"""Limit the connections over which an owner's orders go to each upstream.

Load pattern: hundreds of small tasks start at once, and an upstream takes 64
connections from all callers together. A machine that loses power closes none of its
own, and an upstream notices only those on which it has a response to send. So an owner
has few connections, and none that is idle.
"""

import asyncio
import heapq
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from enum import IntEnum
from typing import NamedTuple

from baobablane_platform import UpstreamOrderClient

# Connections for orders to one upstream. Nine owners that lost power one after the
# other, each with all of them and that of its renewals, leave room for the next one.
MAX_CHANNELS = 5
# Starts leave the others to the stops that settle them.
MAX_START_CHANNELS = 4
# One more connection is opened for each so many orders that wait, or as soon as one has
# waited for some time: to send a few over the same connection takes a few ms.
ORDERS_PER_CHANNEL = 3
PATIENCE_SECONDS = 0.02
# A timer may fire early by the resolution of the clock.
CLOCK_SLACK = 0.001
# An order that waits for longer is planned anew: the upstream has not responded for
# as long.
MAX_WAIT_SECONDS = 1.0


class OrderKind(IntEnum):
    """Name the kinds of orders, the most urgent first."""

    STOP = 0
    CHECK = 1
    START = 2
    PACE = 3


class OrderChannels:
    """Own the connections for orders, which wait for one by their urgency."""

    def __init__(self, open_client: Callable[[], UpstreamOrderClient]) -> None:
        """Open nothing yet; `open_client` returns a client for one connection."""
        self._open_client = open_client
        self._queue_by_upstream: dict[str, _ChannelQueue] = {}

    @asynccontextmanager
    async def take(
        self, upstream_id: str, kind: OrderKind
    ) -> AsyncIterator[UpstreamOrderClient | None]:
        """Yield a client for one order at a time, or None if none is free in time.

        Its connection is closed after that unless another order waits for it.
        """
        queue = self._queue_by_upstream.setdefault(upstream_id, _ChannelQueue())
        try:
            async with asyncio.timeout(MAX_WAIT_SECONDS):
                await queue.acquire(kind)
        except TimeoutError:
            await self._close_unused(upstream_id, queue)
            yield None
            return
        client = queue.idle.pop() if queue.idle else self._open_client()
        try:
            yield client
        finally:
            queue.idle.append(client)
            queue.release(kind)
            await self._close_unused(upstream_id, queue)

    async def close(self) -> None:
        """Close the connections that no order uses."""
        for queue in self._queue_by_upstream.values():
            for client in queue.idle:
                await client.close()

    async def _close_unused(self, upstream_id: str, queue: "_ChannelQueue") -> None:
        if queue.is_unused():
            self._queue_by_upstream.pop(upstream_id, None)
        if not queue.has_granted():
            idle, queue.idle = queue.idle, []
            for client in idle:
                await client.close()


class _ChannelQueue:
    """Grant the connections to one upstream to the most urgent orders."""

    def __init__(self) -> None:
        self.idle: list[UpstreamOrderClient] = []
        self._used_by_stops = 0
        self._used_by_others = 0
        # Granted to orders that have not taken them yet.
        self._granted = 0
        self._waiters: list[_Waiter] = []
        self._last_number = 0

    async def acquire(self, kind: OrderKind) -> None:
        """Wait until an order of this kind may use a connection."""
        self._last_number += 1
        loop = asyncio.get_running_loop()
        granted = loop.create_future()
        impatient_at = loop.time() + PATIENCE_SECONDS
        waiter = _Waiter(kind, self._last_number, impatient_at, granted)
        heapq.heappush(self._waiters, waiter)
        self._grant()
        timer = None if granted.done() else loop.call_at(impatient_at, self._grant)
        try:
            await granted
        except asyncio.CancelledError:
            if granted.done() and not granted.cancelled():
                self._granted -= 1
                self.release(kind)
            raise
        finally:
            if timer is not None:
                timer.cancel()
        self._granted -= 1

    def release(self, kind: OrderKind) -> None:
        """Return a connection, and grant it to the next order."""
        if kind is OrderKind.STOP:
            self._used_by_stops -= 1
        else:
            self._used_by_others -= 1
        self._grant()

    def has_granted(self) -> bool:
        """Return whether an order is about to take a connection."""
        return self._granted > 0

    def is_unused(self) -> bool:
        """Return whether no order uses a connection or waits for one."""
        return not (self._used_by_stops or self._used_by_others or self._waiters)

    def _grant(self) -> None:
        while self._waiters:
            waiter = self._waiters[0]
            if waiter.granted.cancelled():
                heapq.heappop(self._waiters)
            elif self._may_use_one(waiter):
                heapq.heappop(self._waiters)
                if waiter.kind is OrderKind.STOP:
                    self._used_by_stops += 1
                else:
                    self._used_by_others += 1
                self._granted += 1
                waiter.granted.set_result(None)
            else:
                return

    def _may_use_one(self, waiter: "_Waiter") -> bool:
        if self._used_by_stops + self._used_by_others >= MAX_CHANNELS:
            return False
        if waiter.kind is OrderKind.STOP:
            return True
        if self._used_by_others >= MAX_START_CHANNELS:
            return False
        return (
            len(self._waiters) > self._used_by_others * ORDERS_PER_CHANNEL
            or asyncio.get_running_loop().time() >= waiter.impatient_at - CLOCK_SLACK
        )


class _Waiter(NamedTuple):
    """Hold an order that waits; those of the same kind go in the order of arrival."""

    kind: OrderKind
    number: int
    impatient_at: float
    granted: asyncio.Future[None]
