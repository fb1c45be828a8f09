"""Test how records of jobs are divided into appends."""

import asyncio

import pytest
from baobablane_platform import (
    KeyedRecord,
    StoreRejectedError,
    StoreUnknownOutcomeError,
)

from baobablane_daemon.jobs import JobWriter

# The store's limit for one call.
MAX_REQUEST_BYTES = 2_097_152


class AppendStore:
    """Keep the batches that were appended."""

    def __init__(self):
        """Start without any."""
        self.batches = []

    async def append(self, topic, partition, records, producer, timeout_seconds):
        """Keep a batch and return its end offset."""
        self.batches.append(records)
        return len(records)


class TestBatches:
    """Test records that are written at the same time."""

    @pytest.mark.parametrize("value_bytes", [100, 10_000, 250_000, 400_000])
    async def test_no_append_exceeds_the_limit_of_the_store(self, value_bytes):
        store = AppendStore()
        writer = JobWriter(store)
        task = asyncio.create_task(writer.run())
        records = [KeyedRecord(f"job-{n}", b"v" * value_bytes) for n in range(300)]
        await asyncio.gather(*(writer.write(record) for record in records))
        task.cancel()
        assert [record for batch in store.batches for record in batch] == records
        for batch in store.batches:
            assert sum(len(r.key) + len(r.value) for r in batch) <= MAX_REQUEST_BYTES


class SlowStore:
    """Answer the appends in turn, each when its event is set."""

    def __init__(self, *outcomes):
        """Answer with these outcomes: None, or an error to raise."""
        self.outcomes = outcomes
        self.sent = []

    async def append(self, topic, partition, records, producer, timeout_seconds):
        """Wait for the event of this append."""
        event = asyncio.Event()
        self.sent.append(event)
        outcome = self.outcomes[len(self.sent) - 1]
        await event.wait()
        if outcome is not None:
            raise outcome

    async def wait_for_append(self, count):
        """Wait until so many appends were sent."""
        while len(self.sent) < count:
            await asyncio.sleep(0.01)


class TestOutcomes:
    """Test what callers learn when responses are late."""

    async def write(self, store, answered):
        """Return the result of a write whose repetitions are answered in an order."""
        writer = JobWriter(store)
        run = asyncio.create_task(writer.run())
        write = asyncio.create_task(writer.write(KeyedRecord("job", b"v")))
        await store.wait_for_append(len(answered))
        for number in answered:
            store.sent[number].set()
            await asyncio.sleep(0)
            await asyncio.sleep(0)
        result = (await asyncio.gather(write, return_exceptions=True))[0]
        run.cancel()
        return result

    async def test_late_response_counts_although_the_repetition_is_rejected(self):
        """Guards against unknown outcomes while the store is slow and full."""
        store = SlowStore(None, StoreRejectedError("status 503"))
        assert await self.write(store, [1, 0]) is None

    async def test_rejection_is_definite_once_every_attempt_was_rejected(self):
        """Guards against rejections that say "unknown"."""
        rejection = StoreRejectedError("status 503")
        store = SlowStore(rejection, rejection)
        assert isinstance(await self.write(store, [1, 0]), StoreRejectedError)

    async def test_rejected_repetition_leaves_a_lost_response_unknown(self):
        """Guards against a rejection of a job that may be stored and run."""
        lost = StoreUnknownOutcomeError("connection lost")
        rejection = StoreRejectedError("status 503")
        store = SlowStore(lost, rejection, rejection, rejection)

        async def answer_all():
            answered = 0
            while True:
                await store.wait_for_append(answered + 1)
                store.sent[answered].set()
                answered += 1

        store.outcomes += (rejection,) * 100
        answers = asyncio.create_task(answer_all())
        result = await self.write(store, [0])
        answers.cancel()
        assert isinstance(result, StoreUnknownOutcomeError)
