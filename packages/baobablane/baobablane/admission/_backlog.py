"""Hold the requests that wait for a pool, by queue class and team."""

from collections import OrderedDict
from collections.abc import Iterator

import msgspec

from ..config import QueueClass


class WaitingRequest(msgspec.Struct, frozen=True, gc=False):
    """Describe a waiting request."""

    request: str
    team: str
    queue_class: QueueClass
    # Latest useful start time, in seconds on the dispatcher's clock.
    start_by: float


class Backlog:
    """Hold one pool's waiting requests, in order of arrival within each team."""

    def __init__(self) -> None:
        """Start without requests."""
        self._requests: dict[
            QueueClass, dict[str, OrderedDict[str, WaitingRequest]]
        ] = {queue_class: {} for queue_class in QueueClass}
        self._size = 0

    def add(self, waiting: WaitingRequest, at_front: bool = False) -> None:
        """Add a request at the end, or at the front of its team's requests.

        `at_front` is for a request that was sent but not started.
        """
        teams = self._requests[waiting.queue_class]
        team_requests = teams.setdefault(waiting.team, OrderedDict())
        team_requests[waiting.request] = waiting
        self._size += 1
        if at_front:
            team_requests.move_to_end(waiting.request, last=False)

    def remove(self, waiting: WaitingRequest) -> bool:
        """Remove a request and return whether it was waiting."""
        teams = self._requests[waiting.queue_class]
        team_requests = teams.get(waiting.team)
        if team_requests is None or team_requests.pop(waiting.request, None) is None:
            return False
        self._size -= 1
        if not team_requests:
            del teams[waiting.team]
        return True

    def oldest(self, queue_class: QueueClass, team: str) -> WaitingRequest:
        """Return a team's first request, or raise KeyError if it has none."""
        return next(iter(self._requests[queue_class][team].values()))

    def teams(self, queue_class: QueueClass) -> Iterator[str]:
        """Return an iterator over the teams with waiting requests in a class."""
        return iter(self._requests[queue_class])

    def all_teams(self) -> set[str]:
        """Return the teams with waiting requests in any class."""
        return {team for teams in self._requests.values() for team in teams}

    def count(self, team: str) -> int:
        """Return the number of a team's waiting requests in all classes."""
        requests_by_class = (teams.get(team) for teams in self._requests.values())
        return sum(
            len(team_requests) for team_requests in requests_by_class if team_requests
        )

    def count_in_class(self, queue_class: QueueClass, team: str) -> int:
        """Return the number of a team's waiting requests in one class."""
        team_requests = self._requests[queue_class].get(team)
        return len(team_requests) if team_requests else 0

    def counts_by_team(self) -> dict[str, int]:
        """Return the number of waiting requests by team."""
        return {team: self.count(team) for team in self.all_teams()}

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return self._size
