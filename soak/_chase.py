"""Describe faults that follow from the starts of one task."""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass

from ._event import Event
from ._fault import Fault

CRASH_AFTER_SECONDS = 0.02
AWAY_SECONDS = 60.0


@dataclass(frozen=True, slots=True)
class Chase:
    """Crash the upstream of one task right after each of its first starts."""

    task: str
    kind: str
    count: int
    # The processes that are killed, and how long after each crash.
    killed: tuple[str, ...] = ()
    kill_after_seconds: float = 0.3

    def react(self, event: Event, counts: Mapping[str, int]) -> Iterator[Fault]:
        """Return the faults that follow from an event.

        `counts` tells how many faults of each kind there have been.
        """
        if event.name != "start" or event["task"] != self.task:
            return
        if counts.get(self.kind, 0) < self.count:
            crash_at = event.at + CRASH_AFTER_SECONDS
            targets = (event["upstream"],)
            yield Fault(crash_at, self.kind, targets, AWAY_SECONDS)
            if self.killed:
                kill_at = crash_at + self.kill_after_seconds
                yield Fault(kill_at, "kill", self.killed, 0.0)

    def __str__(self) -> str:
        text = f"{self.count} starts of {self.task}, each: {self.kind}"
        return f"{text}, kill {', '.join(self.killed)}" if self.killed else text
