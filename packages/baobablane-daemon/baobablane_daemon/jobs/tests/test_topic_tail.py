"""Test how the newest records of a topic are read."""

import asyncio
import io
import json
import math
from importlib import import_module
from types import SimpleNamespace

import pytest
from baobablane_platform import (
    KeyedRecord,
    NewestPage,
    RecordPage,
    StoreExpiredError,
    StoreUnknownOutcomeError,
)

from baobablane_daemon.decision_log import DecisionLog
from baobablane_daemon.jobs import TopicTail, boot_seconds

# Far longer than any step here takes, so only a hang reaches it.
HANG_TIMEOUT_SECONDS = 60.0
PAGES = {
    None: NewestPage(7, [KeyedRecord("a", b"1")], "a"),
    "a": NewestPage(8, [KeyedRecord("b", b"1")], "b"),
    "b": NewestPage(9, [KeyedRecord("c", b"1")], None),
}


class PagedStore:
    """Return the newest records page by page, and fail some calls."""

    def __init__(self, failed_calls):
        """Set the numbers of the calls that fail, counted from 0."""
        self.failed_calls = failed_calls
        self.requested_after = []
        self.read_starts = []

    async def read_newest(self, topic, partition, after, on_data=None):
        """Return a page, or raise StoreUnknownOutcomeError."""
        self.requested_after.append(after)
        if len(self.requested_after) - 1 in self.failed_calls:
            raise StoreUnknownOutcomeError("no response")
        return PAGES[after]

    async def read(self, topic, partition, start, wait_ms, on_data):
        """Return a page without records."""
        self.read_starts.append(start)
        await asyncio.sleep(0)
        return RecordPage(start, 0, [])


async def catch_up(store):
    """Retry reading a topic until it succeeds; return the keys in order of arrival."""
    keys = []
    log = DecisionLog("entry-1")
    tail = TopicTail(store, log, "keyed.jobs", lambda record: keys.append(record.key))
    for _ in range(len(store.failed_calls) + 1):
        try:
            await tail.catch_up()
        except StoreUnknownOutcomeError:
            continue
    return keys


class TestNewest:
    """Test a topic whose newest records take several pages."""

    @pytest.mark.parametrize("failed_calls", [[], [1], [1, 2], [0, 2, 4]])
    async def test_only_the_failed_page_is_requested_again(self, failed_calls):
        store = PagedStore(failed_calls)
        assert await catch_up(store) == ["a", "b", "c"]
        assert len(store.requested_after) == 3 + len(failed_calls)

    async def test_records_appended_after_the_first_page_are_read(self):
        store = PagedStore([1])
        await catch_up(store)
        assert store.read_starts[0] == 7


class RecordStore:
    """Return one record with each read, and the newest of the only key."""

    def __init__(self, record_count):
        """Store records whose values are their offsets."""
        self.record_count = record_count
        self.read_starts = []

    async def read_newest(self, topic, partition, after, on_data=None):
        """Return the newest record, or none if nothing was appended."""
        records = []
        if self.record_count:
            value = str(self.record_count - 1).encode()
            records.append(KeyedRecord("config", value))
        return NewestPage(self.record_count, records, None)

    async def read(self, topic, partition, start, wait_ms, on_data):
        """Return one record, or none at the end."""
        self.read_starts.append(start)
        records = []
        if start < self.record_count:
            records.append(b"\x06config" + str(start).encode())
        return RecordPage(self.record_count, 0, records)


async def read_backlog(record_count, skips_superseded):
    """Catch up, then again after appends; return the values and the reads' starts."""
    store = RecordStore(0)
    values = []
    tail = TopicTail(
        store,
        DecisionLog("entry-1"),
        "keyed.op",
        lambda record: values.append(int(record.value)),
        skips_superseded=skips_superseded,
    )
    await tail.catch_up()
    store.record_count = record_count
    await tail.catch_up()
    return values, store.read_starts


class TestBacklog:
    """Test a view that is several records behind."""

    @pytest.mark.parametrize("skips, expected", [(True, [0, 11]), (False, range(12))])
    async def test_superseded_records_are_not_read(self, skips, expected):
        values, _ = await read_backlog(12, skips)
        assert values == list(expected)

    async def test_one_superseded_record_is_read(self):
        assert await read_backlog(2, True) == ([0, 1], [0, 0, 1])


class BusyTopicStore:
    """Return one record with each call, and append three during each call.

    A narrow link takes longer for one record than operators take for the next ones.
    """

    # Far more calls than a view takes that is ever confirmed.
    MAX_CALLS = 50

    def __init__(self):
        """Store one record."""
        self.record_count = 1
        self.call_count = 0

    def _append_during_call(self):
        self.call_count += 1
        assert self.call_count < self.MAX_CALLS, "the view was not confirmed"
        self.record_count += 3

    async def read_newest(self, topic, partition, after, on_data=None):
        """Return the newest record."""
        page = NewestPage(self.record_count, [KeyedRecord("config", b"1")], None)
        self._append_during_call()
        return page

    async def read(self, topic, partition, start, wait_ms, on_data):
        """Return the next record."""
        page = RecordPage(self.record_count, 0, [b"\x06config1"])
        self._append_during_call()
        return page


class TestBusyTopic:
    """Test a topic in which records are appended faster than they are read.

    An instance that started while operators changed a large configuration every 0.35 s
    was never ready, and rejected all queries.
    """

    async def test_newest_records_confirm_the_view(self):
        tail = TopicTail(
            BusyTopicStore(),
            DecisionLog("entry-1"),
            "keyed.op",
            lambda record: None,
            skips_superseded=True,
        )
        await tail.catch_up()
        assert tail.age() < math.inf

    async def test_view_is_confirmed_as_of_the_first_page(self):
        """Guards against missing records that were appended during later pages."""
        store = PagedStore([])
        requested_at = []
        read_newest = store.read_newest

        async def note_request(topic, partition, after, on_data=None):
            requested_at.append(boot_seconds())
            return await read_newest(topic, partition, after)

        async def fail(*arguments):
            raise StoreUnknownOutcomeError("no response")

        store.read_newest, store.read = note_request, fail
        tail = TopicTail(store, DecisionLog("i"), "keyed.jobs", lambda record: None)
        with pytest.raises(StoreUnknownOutcomeError):
            await tail.catch_up()
        assert len(requested_at) == 3
        assert tail.confirmed_at <= requested_at[0]


class TestSilence:
    """Test how long a store seems silent while the newest records arrive.

    An instance that received a large configuration as the newest record was not ready
    meanwhile, although the store sent data without a break.
    """

    async def test_data_of_the_newest_records_ends_the_silence(self):
        arrived, finish = asyncio.Event(), asyncio.Event()

        async def read_newest(topic, partition, after, on_data):
            on_data(1)
            arrived.set()
            await finish.wait()

        store = SimpleNamespace(read_newest=read_newest)
        tail = TopicTail(store, DecisionLog("i"), "keyed.op", lambda record: None)
        task = asyncio.create_task(tail.run())
        async with asyncio.timeout(HANG_TIMEOUT_SECONDS):
            await arrived.wait()
        assert tail.silence() < math.inf
        assert tail.age() == math.inf
        task.cancel()


class ForgetfulStore:
    """Return the newest records, and forget all older ones when told to."""

    def __init__(self):
        """Store three keys."""
        self.newest = {"a": b"1", "b": b"1", "c": b"1"}
        self.end = 3
        self.first = 0

    async def read_newest(self, topic, partition, after, on_data=None):
        """Return all keys on one page."""
        records = [KeyedRecord(key, value) for key, value in self.newest.items()]
        return NewestPage(self.end, records, None)

    async def read(self, topic, partition, start, wait_ms, on_data):
        """Return no records, or raise StoreExpiredError for forgotten ones."""
        if start < self.first:
            raise StoreExpiredError(f"expired from offset {start}")
        return RecordPage(self.end, self.first, [])

    def delete_and_forget(self, key):
        """Delete a key, and forget the record that says so."""
        del self.newest[key]
        self.end += 1
        self.first = self.end


class TestForgottenDeletions:
    """Test keys whose deletion was never read because the store forgot its history.

    Such an upstream stayed listed and such a job stayed known.
    """

    async def test_missing_key_counts_as_deleted(self):
        store = ForgetfulStore()
        records = []
        tail = TopicTail(store, DecisionLog("i"), "keyed.servers", records.append)
        await tail.catch_up()
        store.delete_and_forget("b")
        records.clear()
        await tail.catch_up()
        assert KeyedRecord("b", None) in records
        assert {r.key for r in records if r.value} == {"a", "c"}

    async def test_key_is_deleted_only_once(self):
        store = ForgetfulStore()
        records = []
        tail = TopicTail(store, DecisionLog("i"), "keyed.servers", records.append)
        await tail.catch_up()
        store.delete_and_forget("b")
        await tail.catch_up()
        records.clear()
        store.delete_and_forget("c")
        await tail.catch_up()
        assert [r.key for r in records if r.value is None] == ["c"]


class TestLog:
    """Test that the log tells why and for how long a topic could not be read."""

    async def test_loss_and_recovery_are_logged_with_their_extent(self):
        stream = io.BytesIO()
        log = DecisionLog("entry-1", stream)
        store = PagedStore([0, 1])
        tail = TopicTail(store, log, "keyed.jobs", lambda record: None)
        task = asyncio.create_task(tail.run())
        async with asyncio.timeout(HANG_TIMEOUT_SECONDS):
            while b"store-regained" not in stream.getvalue():
                await asyncio.sleep(0)
        task.cancel()
        lost, regained = map(json.loads, stream.getvalue().splitlines())
        assert (lost["event"], lost["view_seconds"]) == ("store-lost", None)
        assert lost["reason"] == "no response"
        assert (regained["event"], regained["failed_reads"]) == ("store-regained", 2)
        failures = log.metrics.store_read_failures.labels("keyed.jobs")
        assert failures._value.get() == 2


class OutageStore:
    """Fail the first reads, and then confirm that there are no records."""

    def __init__(self, errors):
        """Set the errors that the first calls raise."""
        self.errors = list(errors)
        self.confirmed = asyncio.Event()

    async def read_newest(self, topic, partition, after, on_data=None):
        """Return no records, or raise the next error."""
        self.fail()
        return NewestPage(7, [], None)

    async def read(self, topic, partition, start, wait_ms, on_data):
        """Return a page without records, or raise the next error."""
        if self.confirmed.is_set():
            await asyncio.Event().wait()
        self.fail()
        self.confirmed.set()
        return RecordPage(start, 0, [])

    def fail(self):
        """Raise the next error, unless the outage is over."""
        if self.errors:
            raise self.errors.pop(0)


class TestOutage:
    """Test that a view does not stay old once the store responds again.

    Nothing is started as long as the view of the operators' topic is too old.
    """

    @pytest.mark.parametrize(
        "error",
        [
            StoreUnknownOutcomeError("no response"),
            StoreExpiredError("read anew"),
            ValueError("unexpected"),
            TimeoutError(),
        ],
    )
    @pytest.mark.parametrize("count", [1, 2, 50])
    async def test_first_good_read_confirms_the_view(self, monkeypatch, error, count):
        module = import_module("baobablane_daemon.jobs._topic_tail")
        monkeypatch.setattr(module, "READ_RETRY_SECONDS", 0.0)
        store = OutageStore([error] * count)
        log = DecisionLog("entry-1")
        tail = TopicTail(store, log, "keyed.op", lambda record: None)
        reader = asyncio.create_task(tail.run())
        try:
            async with asyncio.timeout(HANG_TIMEOUT_SECONDS):
                await store.confirmed.wait()
            await asyncio.sleep(0)
            assert math.isfinite(tail.age())
            assert not store.errors
            assert not reader.done()
        finally:
            reader.cancel()

    async def test_reader_outlives_queries_that_give_up(self):
        """Guards against a shared read that ends with the query that began it."""
        store = OutageStore([])
        tail = TopicTail(store, DecisionLog("entry-1"), "keyed.op", lambda record: None)
        query = asyncio.create_task(tail.catch_up())
        await asyncio.sleep(0)
        query.cancel()
        reader = asyncio.create_task(tail.run())
        try:
            async with asyncio.timeout(HANG_TIMEOUT_SECONDS):
                await store.confirmed.wait()
            await asyncio.sleep(0)
            assert math.isfinite(tail.age())
            assert not reader.done()
        finally:
            reader.cancel()
