"""Test how a topic is read and followed."""

import pytest
from baobablane_platform import KeyedRecord, NewestPage, Page, StoreUnknownError

from baobablane_daemon.jobs import TopicTail
from baobablane_daemon.tasks import DecisionLog

PAGES = {
    None: NewestPage(7, [KeyedRecord("a", b"1")], "a"),
    "a": NewestPage(8, [KeyedRecord("b", b"1")], "b"),
    "b": NewestPage(9, [KeyedRecord("c", b"1")], None),
}


class PagedStore:
    """Answer the newest records page by page; some calls get no answer."""

    def __init__(self, unanswered_calls):
        """Lose the calls of these numbers."""
        self.unanswered_calls = unanswered_calls
        self.requested_after = []
        self.read_starts = []

    async def newest(self, topic, partition, after):
        """Return a page, or fail."""
        self.requested_after.append(after)
        if len(self.requested_after) - 1 in self.unanswered_calls:
            raise StoreUnknownError("no answer")
        return PAGES[after]

    async def read(self, topic, partition, start, wait_ms):
        """Return that nothing came since."""
        self.read_starts.append(start)
        return Page(start, 0, [])


async def catch_up(store):
    """Read a topic until that succeeds; return the keys in the order they came."""
    keys = []
    log = DecisionLog("entry-1")
    tail = TopicTail(store, log, "keyed.jobs", lambda record: keys.append(record.key))
    for _ in range(len(store.unanswered_calls) + 1):
        try:
            await tail.catch_up()
        except StoreUnknownError:
            continue
    return keys


class TestNewest:
    """Test the newest records of a topic that takes several pages."""

    @pytest.mark.parametrize("unanswered_calls", [[], [1], [1, 2], [0, 2, 4]])
    async def test_only_a_page_that_did_not_come_is_asked_for_again(
        self, unanswered_calls
    ):
        store = PagedStore(unanswered_calls)
        assert await catch_up(store) == ["a", "b", "c"]
        assert len(store.requested_after) == 3 + len(unanswered_calls)

    async def test_what_came_since_the_first_page_is_read(self):
        store = PagedStore([1])
        await catch_up(store)
        assert store.read_starts[0] == 7
