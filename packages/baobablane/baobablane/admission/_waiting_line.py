"""Hold the requests that wait for a pool, by class and team."""

from collections import OrderedDict
from collections.abc import Iterator

import msgspec

from ..config import QueueClass


class Waiting(msgspec.Struct, frozen=True, gc=False):
    """Describe a request that waits."""

    request: str
    team: str
    queue_class: QueueClass
    start_by: float


class WaitingLine:
    """Hold one pool's waiting requests in order of arrival for each team."""

    def __init__(self) -> None:
        """Start empty."""
        self._lines: dict[QueueClass, dict[str, OrderedDict[str, Waiting]]] = {
            queue_class: {} for queue_class in QueueClass
        }
        self._size = 0

    def add(self, waiting: Waiting, at_head: bool = False) -> None:
        """Add a request at the end, or at the head where it had already started."""
        teams = self._lines[waiting.queue_class]
        line = teams.setdefault(waiting.team, OrderedDict())
        line[waiting.request] = waiting
        self._size += 1
        if at_head:
            line.move_to_end(waiting.request, last=False)

    def remove(self, waiting: Waiting) -> bool:
        """Remove a request and return whether it was waiting."""
        teams = self._lines[waiting.queue_class]
        line = teams.get(waiting.team)
        if line is None or line.pop(waiting.request, None) is None:
            return False
        self._size -= 1
        if not line:
            del teams[waiting.team]
        return True

    def head(self, queue_class: QueueClass, team: str) -> Waiting:
        """Return a team's oldest request; KeyError where it has none."""
        return next(iter(self._lines[queue_class][team].values()))

    def teams(self, queue_class: QueueClass) -> Iterator[str]:
        """Yield the teams that wait in a class."""
        return iter(self._lines[queue_class])

    def all_teams(self) -> set[str]:
        """Return the teams that wait in any class."""
        return {team for teams in self._lines.values() for team in teams}

    def count(self, team: str) -> int:
        """Return how many requests of a team wait, over all classes."""
        lines = (teams.get(team) for teams in self._lines.values())
        return sum(len(line) for line in lines if line)

    def count_class(self, queue_class: QueueClass, team: str) -> int:
        """Return how many requests of a team wait in a class."""
        line = self._lines[queue_class].get(team)
        return len(line) if line else 0

    def counts_by_team(self) -> dict[str, int]:
        """Return how many requests wait for each team."""
        return {team: self.count(team) for team in self.all_teams()}

    def __len__(self) -> int:
        """Return how many requests wait."""
        return self._size
