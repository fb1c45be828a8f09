"""Add up the demand that entry instances report."""

from collections import defaultdict
from collections.abc import Iterable, Mapping

from ._demand import DemandLine

Totals = dict[str, dict[str, int]]


class DemandTable:
    """Hold the latest report of each entry instance, and totals for each pool."""

    def __init__(self) -> None:
        """Start without reports."""
        self._lines_by_sender: dict[str, tuple[DemandLine, ...]] = {}
        self._reported_at: dict[str, float] = {}
        self._totals: Totals = defaultdict(dict)

    def report(self, sender: str, lines: Iterable[DemandLine], now: float) -> None:
        """Replace an entry instance's report."""
        self._add(self._lines_by_sender.get(sender, ()), -1)
        self._lines_by_sender[sender] = tuple(lines)
        self._reported_at[sender] = now
        self._add(self._lines_by_sender[sender], 1)

    def expire(self, oldest: float) -> None:
        """Drop the reports from before a time."""
        for sender, reported_at in list(self._reported_at.items()):
            if reported_at < oldest:
                self._add(self._lines_by_sender.pop(sender), -1)
                del self._reported_at[sender]

    def by_team(self, pool: str) -> Mapping[str, int]:
        """Return the demand of each team for a pool, over all reports."""
        return self._totals.get(pool, {})

    def _add(self, lines: Iterable[DemandLine], sign: int) -> None:
        for line in lines:
            teams = self._totals[line.pool]
            total = teams.get(line.team, 0) + sign * (line.waiting + line.running)
            if total:
                teams[line.team] = total
            else:
                teams.pop(line.team, None)
