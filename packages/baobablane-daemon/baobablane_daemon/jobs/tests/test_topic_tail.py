"""Test how the newest records of a topic are read."""

import pytest
from baobablane_platform import (
    KeyedRecord,
    NewestPage,
    RecordPage,
    StoreUnknownOutcomeError,
)

from baobablane_daemon.jobs import TopicTail
from baobablane_daemon.tasks import DecisionLog

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

    async def read_newest(self, topic, partition, after):
        """Return a page, or raise StoreUnknownOutcomeError."""
        self.requested_after.append(after)
        if len(self.requested_after) - 1 in self.failed_calls:
            raise StoreUnknownOutcomeError("no response")
        return PAGES[after]

    async def read(self, topic, partition, start, wait_ms):
        """Return a page without records."""
        self.read_starts.append(start)
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
