"""Catch up with a topic for many requests, at a limited rate of reads."""

import asyncio
import math

from ._topic_tail import TopicTail


class PacedReads:
    """Gather requests into rounds, each of which reads the topic to its end once.

    However many requests come, at most one round begins in each interval, so a request
    waits for up to one interval before its read.
    """

    def __init__(self, tail: TopicTail, interval_seconds: float) -> None:
        """Read nothing before the first request."""
        self._tail = tail
        self._interval_seconds = interval_seconds
        # On the clock of the event loop.
        self._next_begin_at = -math.inf
        # The round that has not begun, or None; requests may still join it.
        self._gathering_round: asyncio.Task[None] | None = None
        self._latest_round: asyncio.Task[None] | None = None

    def is_lost(self, max_silence_seconds: float) -> bool:
        """Return whether the latest read failed and the silence has lasted longer."""
        return self._tail.is_lost(max_silence_seconds)

    async def catch_up(self) -> None:
        """Read everything stored so far, or raise a StoreError."""
        if self._gathering_round is None:
            loop = asyncio.get_running_loop()
            task = loop.create_task(self._run_round(self._latest_round))
            task.add_done_callback(_retrieve_exception)
            self._gathering_round = self._latest_round = task
        # A request that gives up leaves the round to the others.
        await asyncio.shield(self._gathering_round)

    async def _run_round(self, earlier: "asyncio.Task[None] | None") -> None:
        if earlier is not None:
            # If the store doesn't answer, rounds would otherwise pile up.
            await asyncio.wait((earlier,))
        loop = asyncio.get_running_loop()
        await asyncio.sleep(max(0.0, self._next_begin_at - loop.time()))
        self._gathering_round = None
        self._next_begin_at = loop.time() + self._interval_seconds
        # A second read of a large record would share a narrow link with the first.
        await self._tail.finish_arriving()
        await self._tail.catch_up()


def _retrieve_exception(task: "asyncio.Task[None]") -> None:
    if not task.cancelled():
        # If nobody waits any more, asyncio would otherwise log the exception.
        task.exception()
