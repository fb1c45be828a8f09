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
    """Serve the newest records page by page, and leave some calls unanswered."""

    def __init__(self, unanswered_calls):
        """Leave the calls with these numbers unanswered."""
        self.unanswered_calls = unanswered_calls
        self.requested_after = []
        self.read_starts = []

    async def read_newest(self, topic, partition, after):
        """Return a page, or fail."""
        self.requested_after.append(after)
        if len(self.requested_after) - 1 in self.unanswered_calls:
            raise StoreUnknownOutcomeError("no answer")
        return PAGES[after]

    async def read(self, topic, partition, start, wait_ms):
        """Return that nothing was appended since."""
        self.read_starts.append(start)
        return RecordPage(start, 0, [])


async def catch_up(store):
    """Read a topic until that succeeds; return the keys in order of arrival."""
    keys = []
    log = DecisionLog("entry-1")
    tail = TopicTail(store, log, "keyed.jobs", lambda record: keys.append(record.key))
    for _ in range(len(store.unanswered_calls) + 1):
        try:
            await tail.catch_up()
        except StoreUnknownOutcomeError:
            continue
    return keys


class TestNewest:
    """Test a topic whose newest records take several pages."""

    @pytest.mark.parametrize("unanswered_calls", [[], [1], [1, 2], [0, 2, 4]])
    async def test_only_the_unanswered_page_is_requested_again(self, unanswered_calls):
        store = PagedStore(unanswered_calls)
        assert await catch_up(store) == ["a", "b", "c"]
        assert len(store.requested_after) == 3 + len(unanswered_calls)

    async def test_records_appended_after_the_first_page_are_read(self):
        store = PagedStore([1])
        await catch_up(store)
        assert store.read_starts[0] == 7
