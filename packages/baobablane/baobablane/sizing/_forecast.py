"""Forecast which pool's demand rises next.

Load pattern: queues take turns. Each asks for several times its mean for some seconds
and for next to nothing in between, so the next rise follows the last one after about
as long as the last followed the one before.
"""

from statistics import median

# Gaps between rises that a forecast is made from.
GAPS_KEPT = 5
# More than a whole round of turns of all pools.
RISES_KEPT = 100


class TurnForecast:
    """Hold when the demand of each pool rose."""

    def __init__(self) -> None:
        """Start without having seen a rise; times are in Unix seconds."""
        self._rises: list[tuple[float, str]] = []

    def rises(self) -> list[tuple[float, str]]:
        """Return the latest rises, as they are recorded."""
        return list(self._rises)

    def restore(self, rises: list[tuple[float, str]]) -> None:
        """Take over what an earlier owner recorded."""
        self._rises = list(rises)

    def rose(self, pool: str, now: float) -> None:
        """Note that a pool's demand has risen, unless its turn was the latest."""
        if not self._rises or self._rises[-1][1] != pool:
            self._rises.append((now, pool))
            del self._rises[:-RISES_KEPT]

    def has_risen(self, pool: str) -> bool:
        """Return whether a pool's demand ever rose."""
        return any(name == pool for _, name in self._rises)

    def next_rise(self) -> float | None:
        """Return when some pool's demand is expected to rise, if that is known."""
        if len(self._rises) < 2:
            return None
        times = [at for at, _ in self._rises[-GAPS_KEPT - 1 :]]
        gaps = [after - before for before, after in zip(times, times[1:], strict=False)]
        return times[-1] + median(gaps)

    def next_pools(self, pools: set[str]) -> set[str]:
        """Return the pools that may rise next: the new ones, or the longest ago."""
        new = {pool for pool in pools if not self.has_risen(pool)}
        if new:
            return new
        last = {pool: at for at, pool in self._rises if pool in pools}
        if not last:
            return set()
        return {min(last, key=lambda pool: last[pool])}
