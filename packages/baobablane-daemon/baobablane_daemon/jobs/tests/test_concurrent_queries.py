"""Test queries that read a topic at the same time."""

import asyncio

import pytest
from baobablane_platform import NewestPage, RecordPage, StoreUnknownOutcomeError

from baobablane_daemon.decision_log import DecisionLog
from baobablane_daemon.jobs import TopicTail

# Far longer than any step here takes, so only a hang reaches it.
HANG_TIMEOUT_SECONDS = 60.0


class GatedStore:
    """Return pages without records, and only once a gate is open."""

    def __init__(self):
        """Close the gate; the partition is empty."""
        self.requested, self.gate = asyncio.Event(), asyncio.Event()
        self.newest_count = self.read_count = 0

    async def read_newest(self, topic, partition, after, on_data):
        """Return the only page."""
        self.newest_count += 1
        self.requested.set()
        await self.gate.wait()
        return NewestPage(0, [], None)

    async def read(self, topic, partition, start, wait_ms, on_data):
        """Return no records."""
        self.read_count += 1
        await self.gate.wait()
        await asyncio.sleep(0)
        return RecordPage(start, 0, [])


class TestConcurrentQueries:
    """Test queries that read a topic at the same time.

    Each of them read the same pages for itself. Over a narrow link, a page that takes
    0.2 s alone took 3 s, so all queries and all other reads failed until they ceased.
    """

    QUERY_COUNT = 20

    async def start_queries(self, tail, count):
        """Start queries that catch up with the topic, and let them begin."""
        tasks = [asyncio.create_task(tail.catch_up()) for _ in range(count)]
        for _ in range(count):
            await asyncio.sleep(0)
        return tasks

    async def test_queries_share_their_reads(self):
        store = GatedStore()
        store.gate.set()
        tail = TopicTail(store, DecisionLog("i"), "keyed.jobs", lambda record: None)
        await tail.catch_up()
        store.gate.clear()
        store.read_count = 0
        queries = await self.start_queries(tail, self.QUERY_COUNT)
        store.gate.set()
        async with asyncio.timeout(HANG_TIMEOUT_SECONDS):
            await asyncio.gather(*queries)
        # The first read began before some of the queries came.
        assert store.read_count <= 2

    async def test_query_that_gives_up_leaves_its_read_to_the_others(self):
        store = GatedStore()
        tail = TopicTail(store, DecisionLog("i"), "keyed.jobs", lambda record: None)
        first, second = await self.start_queries(tail, 2)
        async with asyncio.timeout(HANG_TIMEOUT_SECONDS):
            await store.requested.wait()
            first.cancel()
            await asyncio.gather(first, return_exceptions=True)
            store.gate.set()
            await second
        assert store.newest_count == 1

    async def test_query_reads_again_after_an_earlier_read_failed(self):
        """Guards against a query that is rejected for a failure from before it."""
        store = GatedStore()
        store.gate.set()
        tail = TopicTail(store, DecisionLog("i"), "keyed.jobs", lambda record: None)
        await tail.catch_up()
        requested, fail = asyncio.Event(), asyncio.Event()
        read = store.read

        async def fail_once(*arguments):
            store.read = read
            requested.set()
            await fail.wait()
            raise StoreUnknownOutcomeError("no response")

        store.read = fail_once
        async with asyncio.timeout(HANG_TIMEOUT_SECONDS):
            (early,) = await self.start_queries(tail, 1)
            await requested.wait()
            (late,) = await self.start_queries(tail, 1)
            fail.set()
            await late
            with pytest.raises(StoreUnknownOutcomeError):
                await early

    async def test_query_at_the_end_of_a_read_starts_another(self, monkeypatch):
        """Guards against a query that waits for a finished read in a tight loop."""
        store = GatedStore()
        store.gate.set()
        tail = TopicTail(store, DecisionLog("i"), "keyed.jobs", lambda record: None)
        await tail.catch_up()
        gate, waits = asyncio.Event(), []
        shield = asyncio.shield

        async def read(topic, partition, start, wait_ms, on_data):
            await gate.wait()
            return RecordPage(start, 0, [])

        def count_waits(read_task):
            waits.append(read_task)
            assert len(waits) < 10, "the query does not yield"
            return shield(read_task)

        monkeypatch.setattr(asyncio, "shield", count_waits)
        store.read = read
        (early,) = await self.start_queries(tail, 1)
        await asyncio.sleep(0)
        # The read ends in the step before that of the late query.
        gate.set()
        late = asyncio.create_task(tail.catch_up())
        async with asyncio.timeout(HANG_TIMEOUT_SECONDS):
            await asyncio.gather(early, late)
        assert len(set(waits)) == 2
