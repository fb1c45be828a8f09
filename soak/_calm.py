"""Tell since when nothing has been disturbed."""

from collections import Counter

from ._event import Event
from ._plan import LINK_KINDS, STORE_KINDS

RESTART_KINDS = ("kill", "terminate")
# Over as soon as they have begun, whatever their planned length.
MOMENTARY_KINDS = ("reset", "store-forgets")
UPSTREAM_PREFIX = "upstream/"


class Calm:
    """Tell since when no disruption has been in force.

    An entry instance is disturbed from a signal until it is started or goes on, and by
    faults on its own links while they last; the store while its faults last. An
    upstream that stays away is no disruption: its crash, and the begin and the end of
    its rejections and of a fault between it and all entry instances, are moments.
    Maintenance, other orders of the operator and returns of upstreams are none.
    """

    def __init__(self) -> None:
        """Start without disturbances."""
        self._since = 0.0
        self._active: Counter[tuple[str, str]] = Counter()
        # Entry instances that were ended and have not been started again.
        self._ended: set[str] = set()

    def seconds(self, at: float) -> float:
        """Return for how long nothing has been disturbed."""
        if self._ended or self._active.total():
            return 0.0
        return at - self._since

    def note(self, event: Event) -> None:
        """Take note of what an event disturbs."""
        if event.name == "crash" and event["state"] != "upkeep":
            self._since = event.at
        elif event.name == "process-start" and event["entry"] in self._ended:
            self._ended.discard(event["entry"])
            self._since = event.at
        elif event.name in ("fault", "fault-ends"):
            for target in event["targets"] or ("",):
                self._note_fault(event, target)

    def _note_fault(self, event: Event, target: str) -> None:
        kind, begins = event["kind"], event.name == "fault"
        if kind in RESTART_KINDS:
            if begins:
                self._ended.add(target)
        elif kind in MOMENTARY_KINDS:
            if begins:
                self._since = event.at
        elif kind == "unhealthy" or is_of_upstream(kind, target):
            self._since = event.at
        elif kind == "pause" or kind in LINK_KINDS or kind in STORE_KINDS:
            self._active[kind, target] += 1 if begins else -1
            self._since = event.at


def is_of_upstream(kind: str, target: str) -> bool:
    """Return whether a fault is on the link of an upstream to all entry instances."""
    is_between = kind in LINK_KINDS and target.startswith(UPSTREAM_PREFIX)
    return is_between and target.count("/") == 1
