"""Order teams by their weighted use of slots."""

from collections import defaultdict
from collections.abc import Iterable


class FairClock:
    """Track a virtual time for each team, as in start-time fair queueing."""

    def __init__(self) -> None:
        """Start with every team at virtual time zero."""
        self._virtual_times: dict[str, float] = defaultdict(float)
        self._system_virtual_time = 0.0

    def activate(self, team: str, waiting: Iterable[str]) -> None:
        """Raise a newly active team to the lowest virtual time of those that wait.

        A team therefore gains no credit while it is idle. If `waiting` is empty,
        the system's virtual time is used instead.
        """
        virtual_times = (self._virtual_times[other] for other in waiting)
        start_time = min(virtual_times, default=self._system_virtual_time)
        self._virtual_times[team] = max(self._virtual_times[team], start_time)

    def charge(self, team: str, slot_seconds: float, weight: float) -> None:
        """Advance a team's virtual time by slot-seconds divided by its weight."""
        self._virtual_times[team] += slot_seconds / weight

    def next_team(self, teams: Iterable[str]) -> str | None:
        """Return the team with the lowest virtual time, or None if there is no team."""
        return min(teams, key=self._sort_key, default=None)

    def record_start(self, team: str) -> None:
        """Set the system's virtual time to that of a team whose request starts."""
        self._system_virtual_time = self._virtual_times[team]

    def _sort_key(self, team: str) -> tuple[float, str]:
        return self._virtual_times[team], team
