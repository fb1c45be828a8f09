"""Test the publication of the states of jobs."""

import asyncio

import pytest
from baobablane.jobs import JobState
from baobablane_platform import KeyedRecord, StoreFencedError

from baobablane_daemon.owner._state_publisher import StatePublisher


class FakeStore:
    """Keep the appends to each topic, and fence epochs below `epoch`."""

    def __init__(self):
        self.appends = []
        self.epoch = 0

    async def append(self, topic, partition, records, producer, timeout_seconds):
        if producer.epoch < self.epoch:
            raise StoreFencedError(topic)
        self.appends.append((producer.sequence, records))
        return len(self.appends)


class TestStatePublisher:
    """Test what is appended, and when."""

    async def test_states_from_before_the_first_reader_are_published(self):
        """Without this, a new reader would show jobs as pending for good."""
        store = FakeStore()
        publisher = StatePublisher(store, 3, 100)
        publisher.publish({"b": JobState.COMPLETED})
        await publisher.flush()
        assert store.appends == []
        publisher.activate({"a": JobState.RUNNING, "b": JobState.RUNNING})
        await publisher.flush()
        records = [KeyedRecord("a", b"1"), KeyedRecord("b", b"2")]
        assert store.appends == [(100, records)]

    async def test_unchanged_and_pending_states_are_not_published(self):
        """Guards against a record for each start of a task."""
        store = FakeStore()
        publisher = StatePublisher(store, 3, 100)
        publisher.activate({})
        publisher.publish({"a": JobState.RUNNING, "b": JobState.PENDING})
        await publisher.flush()
        publisher.publish({"a": JobState.RUNNING})
        await publisher.flush()
        assert store.appends == [(100, [KeyedRecord("a", b"1")])]

    async def test_states_that_change_during_an_append_are_published_next(self):
        """Guards against a state that is overwritten while its append is sent."""
        store = FakeStore()
        publisher = StatePublisher(store, 3, 100)
        publisher.activate({})
        task = asyncio.create_task(publisher.run())
        publisher.publish({"a": JobState.RUNNING})
        while not store.appends:
            await asyncio.sleep(0)
        publisher.publish({"a": JobState.COMPLETED})
        while len(store.appends) < 2:
            await asyncio.sleep(0)
        task.cancel()
        assert store.appends[1] == (101, [KeyedRecord("a", b"2")])

    async def test_earlier_owner_publishes_nothing(self):
        """Guards against states and heartbeats of an owner that was replaced."""
        store = FakeStore()
        store.epoch = 4
        publisher = StatePublisher(store, 3, 100)
        publisher.activate({"a": JobState.RUNNING})
        with pytest.raises(StoreFencedError):
            await publisher.flush()
