"""Print what belongs to a broken promise."""

import json
from collections.abc import Iterator
from pathlib import Path

from ._breach import Breach
from ._event import Event

MAX_LINES = 40


def describe_breach(
    breach: Breach, seed: int, events: list[Event], folder: Path
) -> Iterator[str]:
    """Return the lines on a broken promise, with its events and log lines."""
    yield f"seed {seed}: {breach}"
    yield from _last(
        f"  {event.at:8.3f} s {event.name} {json.dumps(event.fields)}"
        for event in events
        if event.name == "fault"
        or breach.subject in json.dumps(event.fields)
        and event.at <= breach.at
    )
    for path in sorted(folder.glob("*.log")):
        with path.open(errors="replace") as log:
            lines = [line.rstrip() for line in log if breach.subject in line]
        yield from _last(f"  {path.stem}: {line}" for line in lines)


def _last(lines: Iterator[str]) -> list[str]:
    return list(lines)[-MAX_LINES:]
