"""Test when all writes of an owner count as failed."""

import asyncio

import pytest
from baobablane_platform import KeyedRecord, StoreRejectedError

from baobablane_daemon.jobs import PROGRESS_TOPIC, boot_seconds
from baobablane_daemon.owner._fenced_appender import FencedAppender

from ...jobs.tests.virtual_time import run_in_virtual_time

QUEUE_SECONDS = 0.9
REJECTION_SECONDS = 0.005


class ScriptedAppends:
    """Answer each append as the next step of a script tells; repeat the last step."""

    def __init__(self, steps):
        """Follow `steps`, each of which is `queue` or `reject`."""
        self._steps = steps
        self.count = 0

    async def append(self, topic, partition, records, producer, timeout_seconds):
        """Store records after some time, or reject them."""
        step = self._steps[min(self.count, len(self._steps) - 1)]
        self.count += 1
        if step == "reject":
            await asyncio.sleep(REJECTION_SECONDS)
            raise StoreRejectedError("status 503")
        await asyncio.sleep(QUEUE_SECONDS)


async def find_longest_failure(steps, seconds):
    """Return for how long writes failed at most while one record is written."""
    appender = FencedAppender(ScriptedAppends(steps), PROGRESS_TOPIC, 1, 1)
    task = asyncio.create_task(appender.append([KeyedRecord("key", b"value")]))
    until, longest = boot_seconds() + seconds, 0.0
    while boot_seconds() < until and not task.done():
        longest = max(longest, appender.failing_for())
        await asyncio.sleep(0.01)
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    return longest


class TestFailingWrites:
    """Test a store with a long queue, and one that turns the owner away."""

    @pytest.mark.parametrize(
        "steps",
        [["queue", "reject"], ["reject", "queue"], ["reject", "queue", "reject"]],
    )
    def test_write_in_the_queue_has_not_failed(self, steps):
        """Guards against an owner that is replaced since its repetitions are rejected.

        The store rejects what would wait for more than 2 s, for all alike.
        """
        assert run_in_virtual_time(find_longest_failure(steps, 2.0)) < 0.1

    def test_rejected_writes_have_failed(self):
        longest = run_in_virtual_time(find_longest_failure(["reject"], 0.4))
        assert 0.3 <= longest <= 0.4
