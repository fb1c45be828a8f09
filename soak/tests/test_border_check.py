"""Test the check of tokens, keys and queues with events that break it."""

from soak._border_check import BorderCheck
from soak._event import Event

from .events import broken, start


def try_key(sent, status):
    """Return the event of an answer to a key."""
    fields = {"key": "key-0", "sent": sent, "status": status, "entry": "entry-0"}
    return Event(sent + 0.1, "key-tried", fields)


def try_queue(sent, status):
    """Return the event of an answer on a queue."""
    fields = {"path": "/extra-0/", "sent": sent, "status": status, "entry": "entry-0"}
    return Event(sent + 0.1, "queue-tried", fields)


class TestTokens:
    """Test fencing tokens that fall."""

    def test_lower_token_at_the_same_upstream_is_broken(self):
        events = [start(1.0, token=2), start(1.1, token=1)]
        assert broken(BorderCheck(), events) == ["tokens-never-fall"]

    def test_lower_token_elsewhere_is_broken_in_the_end(self):
        events = [start(1.0, token=2), start(2.0, "u1", token=1)]
        assert broken(BorderCheck(), events) == []
        events[1] = start(10.1, "u1", token=1)
        assert broken(BorderCheck(), events) == ["tokens-never-fall"]


class TestOperators:
    """Test keys and queues."""

    def test_withdrawn_key_that_is_accepted_is_broken(self):
        withdrawal = Event(1.0, "key-withdrawn", {"key": "key-0"})
        for sent, status, expected in (
            (5.9, 200, []),
            (6.1, 401, []),
            (6.1, 200, ["withdrawn-key"]),
        ):
            events = [withdrawal, try_key(sent, status)]
            assert broken(BorderCheck(), events) == expected

    def test_queue_that_is_denied_is_broken(self):
        addition = Event(1.0, "queue-added", {"path": "/extra-0/"})
        for sent, status, expected in (
            (2.9, 404, []),
            (3.1, 503, []),
            (3.1, 404, ["configuration"]),
        ):
            events = [addition, try_queue(sent, status)]
            assert broken(BorderCheck(), events) == expected
