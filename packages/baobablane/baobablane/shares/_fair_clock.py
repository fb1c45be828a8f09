"""Order teams by the weighted service that they have received."""

from collections import defaultdict
from collections.abc import Iterable


class FairClock:
    """Hold a virtual time for each team, as in start-time fair queueing."""

    def __init__(self) -> None:
        """Start with every team at virtual time zero."""
        self._virtual_times: dict[str, float] = defaultdict(float)
        self._system_virtual_time = 0.0

    def activate(self, team: str, waiting: Iterable[str]) -> None:
        """Let a team that was idle start level with the last of those that wait."""
        virtual_times = (self._virtual_times[other] for other in waiting)
        start_time = min(virtual_times, default=self._system_virtual_time)
        self._virtual_times[team] = max(self._virtual_times[team], start_time)

    def charge(self, team: str, slot_seconds: float, weight: float) -> None:
        """Advance a team by slot-seconds over its weight."""
        self._virtual_times[team] += slot_seconds / weight

    def next_team(self, teams: Iterable[str]) -> str | None:
        """Return the team that is furthest behind, None where there is none."""
        return min(teams, key=self._sort_key, default=None)

    def started(self, team: str) -> None:
        """Note that a team's request starts."""
        self._system_virtual_time = self._virtual_times[team]

    def _sort_key(self, team: str) -> tuple[float, str]:
        return self._virtual_times[team], team
