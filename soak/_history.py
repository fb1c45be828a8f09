"""Keep the events of a soak and show them to the checks."""

import json
import time
from collections.abc import Callable, Iterable
from pathlib import Path

from ._breach import Breach
from ._event import Event

Check = Callable[[Event], Iterable[Breach]]


class History:
    """Record events in memory and in a file, and collect the broken promises."""

    def __init__(self, path: Path, checks: list[Check]) -> None:
        """Begin an empty history."""
        self.events: list[Event] = []
        self.breaches: list[Breach] = []
        self.on_breach: Callable[[Breach], None] = lambda breach: None
        self.on_event: Callable[[Event], None] = lambda event: None
        self._checks = checks
        self._file = path.open("w")
        self._began_at = time.monotonic()

    def now(self) -> float:
        """Return the time in seconds since the start."""
        return time.monotonic() - self._began_at

    def restart_clock(self) -> None:
        """Count the time from now on."""
        self._began_at = time.monotonic()

    def record(self, name: str, **fields: object) -> None:
        """Record an event that happens now, and check it."""
        event = Event(self.now(), name, fields)
        self.events.append(event)
        row = {"at": round(event.at, 4), "event": name, **fields}
        self._file.write(json.dumps(row) + "\n")
        self._check(event)
        self.on_event(event)

    def tick(self) -> None:
        """Check what is broken by now, though nothing happens."""
        self._check(Event(self.now(), "tick", {}))

    def add(self, breach: Breach) -> None:
        """Collect a broken promise."""
        self.breaches.append(breach)
        self.on_breach(breach)

    def close(self) -> None:
        """Close the file."""
        self._file.close()

    def _check(self, event: Event) -> None:
        for check in self._checks:
            for breach in check(event):
                self.add(breach)
