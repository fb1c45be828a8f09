"""Test reads that are sent again beside one that is silent."""

import asyncio

import pytest
from baobablane_platform import StoreRejectedError, StoreUnknownOutcomeError

from baobablane_daemon.jobs import boot_seconds
from baobablane_daemon.jobs._repeated_read import (
    MAX_READS_AT_ONCE,
    REPEAT_SECONDS,
    read_repeatedly,
)

from .virtual_time import run_in_virtual_time

STALL_SECONDS = 3.0


class SilentReads:
    """Leave the first reads without a response, and answer those after them."""

    def __init__(self, silent_count):
        """Answer the read after `silent_count` ones at once."""
        self._silent_count = silent_count
        self.count = self.cancelled_count = 0

    async def read(self):
        """Return the number of this read."""
        self.count += 1
        number = self.count
        if number > self._silent_count:
            return number
        try:
            await asyncio.sleep(STALL_SECONDS)
        except asyncio.CancelledError:
            self.cancelled_count += 1
            raise
        raise StoreUnknownOutcomeError("no response")


def is_never_arriving():
    """Return that no part of a response has arrived."""
    return False


class TestSilentReads:
    """Test reads without a response."""

    def test_second_read_answers(self):
        """Guards against waiting for the end of a read whose response was lost."""
        reads = SilentReads(1)

        async def scenario():
            began_at = boot_seconds()
            assert await read_repeatedly(reads.read, is_never_arriving) == 2
            await asyncio.sleep(0.0)
            return boot_seconds() - began_at

        assert run_in_virtual_time(scenario()) == pytest.approx(REPEAT_SECONDS)
        assert reads.cancelled_count == 1

    def test_silent_store_gets_few_reads(self):
        """Guards against many reads at once of a store that is slow for all."""
        reads = SilentReads(100)

        async def scenario():
            began_at = boot_seconds()
            with pytest.raises(StoreUnknownOutcomeError):
                await read_repeatedly(reads.read, is_never_arriving)
            return boot_seconds() - began_at

        seconds = run_in_virtual_time(scenario())
        assert reads.count == MAX_READS_AT_ONCE
        last_sent_at = (MAX_READS_AT_ONCE - 1) * REPEAT_SECONDS
        assert seconds == pytest.approx(last_sent_at + STALL_SECONDS)

    def test_caller_that_gives_up_leaves_no_read(self):
        """Guards against reads that go on after the ownership."""
        reads = SilentReads(100)

        async def scenario():
            with pytest.raises(TimeoutError):
                async with asyncio.timeout(2.5):
                    await read_repeatedly(reads.read, is_never_arriving)
            await asyncio.sleep(0.0)

        run_in_virtual_time(scenario())
        assert reads.cancelled_count == reads.count


class TestOtherReads:
    """Test reads that need no repetition."""

    def test_arriving_response_is_not_requested_again(self):
        """Guards against a large response that is sent twice over a narrow link."""
        count = 0

        async def read():
            nonlocal count
            count += 1
            await asyncio.sleep(STALL_SECONDS)
            return count

        async def scenario():
            return await read_repeatedly(read, lambda: True)

        assert run_in_virtual_time(scenario()) == 1

    def test_rejection_is_raised_at_once(self):
        """Guards against waiting beside a store that has answered."""
        began_at = []

        async def reject():
            began_at.append(boot_seconds())
            raise StoreRejectedError("busy")

        async def scenario():
            with pytest.raises(StoreRejectedError):
                await read_repeatedly(reject, is_never_arriving)
            assert began_at == [boot_seconds()]

        run_in_virtual_time(scenario())
