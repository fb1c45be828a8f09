"""Test tasks that wait for named values."""

import asyncio

from baobablane_daemon.engine._waiters import Waiters


class TestWaiters:
    """Test values that arrive in time, late, and as the timeout expires."""

    async def test_value_in_time_is_returned(self):
        waiters: Waiters[int] = Waiters()
        waiting = asyncio.create_task(waiters.wait("a", 60.0))
        await asyncio.sleep(0)
        assert waiters.resolve("a", 7)
        assert await waiting == 7

    async def test_timeout_returns_none_and_removes_the_waiter(self):
        waiters: Waiters[int] = Waiters()
        assert await waiters.wait("a", 0.0) is None
        assert not waiters.resolve("a", 7)

    async def test_value_set_as_the_timeout_expires_is_not_lost(self):
        waiters: Waiters[int] = Waiters()
        waiting = asyncio.create_task(waiters.wait("a", 0.0))
        await asyncio.sleep(0)
        resolved = waiters.resolve("a", 7)
        assert await waiting == (7 if resolved else None)
