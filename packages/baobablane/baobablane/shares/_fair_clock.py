"""Order teams by the weighted service that they have received."""

from collections import defaultdict
from collections.abc import Iterable


class FairClock:
    """Hold a virtual time for each team, as in start-time fair queueing."""

    def __init__(self) -> None:
        """Start with every team at virtual time zero."""
        self._times: dict[str, float] = defaultdict(float)
        self._system_time = 0.0

    def activate(self, team: str) -> None:
        """Forfeit the service that a team did not ask for while it was idle."""
        self._times[team] = max(self._times[team], self._system_time)

    def charge(self, team: str, slot_seconds: float, share: float) -> None:
        """Advance a team by slot-seconds over its share."""
        self._times[team] += slot_seconds / share

    def next_team(self, teams: Iterable[str]) -> str | None:
        """Return the team that is furthest behind, None where there is none."""
        return min(teams, key=self._order, default=None)

    def started(self, team: str) -> None:
        """Note that a team's request starts."""
        self._system_time = max(self._system_time, self._times[team])

    def _order(self, team: str) -> tuple[float, str]:
        return self._times[team], team
