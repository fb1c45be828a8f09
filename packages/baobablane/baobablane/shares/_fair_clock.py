"""Order teams by the weighted service that they have received."""

from collections import defaultdict
from collections.abc import Iterable


class FairClock:
    """Hold a virtual time for each team, as in start-time fair queueing."""

    def __init__(self) -> None:
        """Start with every team at virtual time zero."""
        self._times: dict[str, float] = defaultdict(float)
        self._system_time = 0.0

    def activate(self, team: str, waiting: Iterable[str]) -> None:
        """Let a team that was idle start level with the last of those that wait."""
        times = (self._times[other] for other in waiting)
        level = min(times, default=self._system_time)
        self._times[team] = max(self._times[team], level)

    def charge(self, team: str, slot_seconds: float, weight: float) -> None:
        """Advance a team by slot-seconds over its weight."""
        self._times[team] += slot_seconds / weight

    def next_team(self, teams: Iterable[str]) -> str | None:
        """Return the team that is furthest behind, None where there is none."""
        return min(teams, key=self._order, default=None)

    def started(self, team: str) -> None:
        """Note that a team's request starts."""
        self._system_time = self._times[team]

    def _order(self, team: str) -> tuple[float, str]:
        return self._times[team], team
