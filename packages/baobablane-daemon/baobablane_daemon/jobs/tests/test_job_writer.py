"""Test how records of jobs are divided into appends."""

import asyncio

import pytest
from baobablane_platform import KeyedRecord

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
