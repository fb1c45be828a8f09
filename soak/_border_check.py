"""Check fencing tokens, withdrawn keys and configurations."""

from collections.abc import Iterator

from ._breach import Breach
from ._event import Event

# The platform's bounds until a key is rejected and a queue is known.
KEY_SECONDS = 5.0
CONFIGURATION_SECONDS = 2.0
# An owner acts for 1 s after the store's confirmation, and an order takes 1 s; what a
# link holds arrives up to 7 s later.
TOKEN_SECONDS = 9.0


class BorderCheck:
    """Check what is allowed by an owner or an operator that has been replaced."""

    def __init__(self) -> None:
        """Start without tokens and configurations."""
        # The time at which each fencing token was first used.
        self._seen_at: dict[int, float] = {}
        self._token_by_life: dict[tuple[str, int], int] = {}
        self._withdrawn_at: dict[str, float] = {}
        self._queue_since: dict[str, float] = {}

    def __call__(self, event: Event) -> Iterator[Breach]:
        """Return the promises that an event breaks."""
        if event.name == "start":
            yield from self._check_token(event)
        elif event.name == "key-withdrawn":
            self._withdrawn_at[event["key"]] = event.at
        elif event.name == "queue-added":
            self._queue_since[event["path"]] = event.at
        elif event.name == "key-tried" and event["status"] == 200:
            withdrawn_at = self._withdrawn_at.get(event["key"], event.at)
            if event["sent"] - withdrawn_at > KEY_SECONDS:
                detail = f"{event['key']} is accepted, withdrawn at {withdrawn_at:.2f}"
                yield Breach("withdrawn-key", event.at, detail, event["entry"])
        elif event.name == "queue-tried" and event["status"] in (401, 403, 404):
            since = self._queue_since.get(event["path"], event.at)
            if event["sent"] - since > CONFIGURATION_SECONDS:
                detail = f"{event['path']} is denied, added at {since:.2f} s"
                yield Breach("configuration", event.at, detail, event["entry"])

    def _check_token(self, event: Event) -> Iterator[Breach]:
        token = event["token"]
        self._seen_at.setdefault(token, event.at)
        life = (event["upstream"], event["incarnation"])
        previous = self._token_by_life.setdefault(life, token)
        self._token_by_life[life] = token
        newer = [
            seen
            for seen, at in self._seen_at.items()
            if seen > token and event.at - at > TOKEN_SECONDS
        ]
        if newer or token < previous:
            newest = max([previous, *newer])
            detail = f"{event['task']} starts by token {token} after token {newest}"
            yield Breach("tokens-never-fall", event.at, detail, event.job)
