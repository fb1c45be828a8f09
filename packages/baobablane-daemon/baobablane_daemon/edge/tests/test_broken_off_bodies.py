"""Test requests whose clients break off before the end of the body.

The part that had arrived was run as if it were the whole body.
"""

from types import SimpleNamespace

import pytest
from baobablane_daemon.edge._callers import SubmitEndpoint


@pytest.fixture
def play():
    """Return a function that plays messages, and what was served and logged."""
    served, logged = [], []

    async def serve(request):
        served.append(request.body)
        raise ConnectionError("nobody is to be served")

    engine = SimpleNamespace(
        now=lambda: 0.0,
        new_request_id=lambda: "r1",
        decisions=SimpleNamespace(write=logged.append),
    )
    endpoint = SubmitEndpoint(engine, SimpleNamespace(serve=serve))
    scope = {"headers": [], "path_params": {"queue": "q"}, "path": "/"}

    async def run(*messages):
        left = list(messages)

        async def receive():
            return left.pop(0)

        async def send(message):
            raise AssertionError(message)

        await endpoint(scope, receive, send)

    return SimpleNamespace(run=run, served=served, logged=logged)


class TestBrokenOffBody:
    """Test what becomes of the part that has arrived."""

    async def test_it_is_not_served(self, play):
        part = {"type": "http.request", "body": b"{", "more_body": True}
        await play.run(part, {"type": "http.disconnect"})
        assert play.served == []
        (decision,) = play.logged
        assert (decision.event, decision.queue) == ("body-broken-off", "q")

    async def test_nothing_at_all_is_not_served_either(self, play):
        await play.run({"type": "http.disconnect"})
        assert play.served == []

    async def test_whole_body_is_served(self, play):
        part = {"type": "http.request", "body": b"{", "more_body": True}
        with pytest.raises(ConnectionError):
            await play.run(part, {"type": "http.request", "body": b"}"})
        assert play.served == [b"{}"]
