"""Sum the demand that entry instances report."""

from collections import defaultdict
from collections.abc import Iterable, Mapping

from ._demand import DemandLine

# Demand in slots, by pool and team.
Totals = dict[str, dict[str, int]]


class DemandTable:
    """Store the latest report of each entry instance, and the totals by pool."""

    def __init__(self, own_name: str = "") -> None:
        """Start without reports, for the entry instance named `own_name`."""
        self._own_name = own_name
        self._lines_by_sender: dict[str, tuple[DemandLine, ...]] = {}
        self._reported_at: dict[str, float] = {}
        self._totals: Totals = defaultdict(dict)
        # Demand of the entry instances whose names sort before `own_name`.
        self._preceding_totals: Totals = defaultdict(dict)

    def report(self, sender: str, lines: Iterable[DemandLine], now: float) -> None:
        """Replace an entry instance's report; `now` is a time in seconds."""
        self._add(sender, self._lines_by_sender.get(sender, ()), -1)
        self._lines_by_sender[sender] = tuple(lines)
        self._reported_at[sender] = now
        self._add(sender, self._lines_by_sender[sender], 1)

    def expire(self, min_reported_at: float) -> None:
        """Remove the reports received before `min_reported_at`, a time in seconds."""
        for sender, reported_at in list(self._reported_at.items()):
            if reported_at < min_reported_at:
                self._add(sender, self._lines_by_sender.pop(sender), -1)
                del self._reported_at[sender]

    def by_team(self, pool: str) -> Mapping[str, int]:
        """Return each team's demand for a pool in slots, summed over all reports."""
        return self._totals.get(pool, {})

    def preceding_by_team(self, pool: str) -> Mapping[str, int]:
        """Return each team's demand at entry instances that sort before this one."""
        return self._preceding_totals.get(pool, {})

    def _add(self, sender: str, lines: Iterable[DemandLine], sign: int) -> None:
        is_preceding = sender < self._own_name
        for line in lines:
            change = sign * (line.waiting + line.running)
            _add_demand(self._totals[line.pool], line.team, change)
            if is_preceding:
                _add_demand(self._preceding_totals[line.pool], line.team, change)


def _add_demand(teams: dict[str, int], team: str, change: int) -> None:
    total = teams.get(team, 0) + change
    if total:
        teams[team] = total
    else:
        teams.pop(team, None)
