"""Test waiting for something to be read back or decided."""

import asyncio

from baobablane_daemon.engine._waiters import Waiters


class TestWaiters:
    """Test values that come in time, late, and at the last moment."""

    async def test_value_in_time(self):
        waiters: Waiters[int] = Waiters()
        waiting = asyncio.create_task(waiters.wait("a", 60.0))
        await asyncio.sleep(0)
        assert waiters.resolve("a", 7)
        assert await waiting == 7

    async def test_no_value(self):
        waiters: Waiters[int] = Waiters()
        assert await waiters.wait("a", 0.0) is None
        assert not waiters.resolve("a", 7)

    async def test_value_given_as_the_time_ends_is_not_lost(self):
        waiters: Waiters[int] = Waiters()
        waiting = asyncio.create_task(waiters.wait("a", 0.0))
        await asyncio.sleep(0)
        resolved = waiters.resolve("a", 7)
        assert await waiting == (7 if resolved else None)
