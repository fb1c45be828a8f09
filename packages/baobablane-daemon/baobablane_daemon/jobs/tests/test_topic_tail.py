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


class NarrowStore:
    """Answer the newest records page by page; some calls get no answer."""

    def __init__(self, lost):
        """Lose the calls of these numbers."""
        self.lost = lost
        self.asked = []
        self.read_from = []

    async def newest(self, topic, partition, after):
        """Return a page, or fail."""
        self.asked.append(after)
        if len(self.asked) - 1 in self.lost:
            raise StoreUnknownError("no answer")
        return PAGES[after]

    async def read(self, topic, partition, start, wait_ms):
        """Return that nothing came since."""
        self.read_from.append(start)
        return Page(start, 0, [])


async def catch_up(store):
    """Read a topic until that succeeds; return the keys in the order they came."""
    keys = []
    log = DecisionLog("entry-1")
    tail = TopicTail(store, log, "keyed.jobs", lambda record: keys.append(record.key))
    for _ in range(len(store.lost) + 1):
        try:
            await tail.catch_up()
        except StoreUnknownError:
            continue
    return keys


class TestNewest:
    """Test the newest records of a topic that takes several pages."""

    @pytest.mark.parametrize("lost", [[], [1], [1, 2], [0, 2, 4]])
    async def test_only_a_page_that_did_not_come_is_asked_for_again(self, lost):
        store = NarrowStore(lost)
        assert await catch_up(store) == ["a", "b", "c"]
        assert len(store.asked) == 3 + len(lost)

    async def test_what_came_since_the_first_page_is_read(self):
        store = NarrowStore([1])
        await catch_up(store)
        assert store.read_from[0] == 7
