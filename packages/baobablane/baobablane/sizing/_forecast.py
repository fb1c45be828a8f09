"""Forecast which pool's demand rises next.

Load pattern: queues take turns. Each asks for several times its mean for some seconds
and for next to nothing in between, so the next rise follows the last one after about
as long as the last followed the one before.
"""

from statistics import median

# Gaps between rises that a forecast is made from.
FORECAST_INTERVALS = 5
# More than a whole round of turns of all pools.
MAX_BURST_STARTS = 100


class BurstForecast:
    """Hold when the demand of each pool rose."""

    def __init__(self) -> None:
        """Start without having seen a rise; times are in Unix seconds."""
        self._burst_starts: list[tuple[float, str]] = []

    def burst_starts(self) -> list[tuple[float, str]]:
        """Return the latest rises, as they are recorded."""
        return list(self._burst_starts)

    def restore(self, burst_starts: list[tuple[float, str]]) -> None:
        """Take over what an earlier owner recorded."""
        self._burst_starts = list(burst_starts)

    def record_burst(self, pool: str, now: float) -> None:
        """Note that a pool's demand has risen, unless its turn was the latest."""
        if not self._burst_starts or self._burst_starts[-1][1] != pool:
            self._burst_starts.append((now, pool))
            del self._burst_starts[:-MAX_BURST_STARTS]

    def has_recorded_burst(self, pool: str) -> bool:
        """Return whether a pool's demand ever rose."""
        return any(name == pool for _, name in self._burst_starts)

    def next_burst_start(self) -> float | None:
        """Return when some pool's demand is expected to rise, if that is known."""
        if len(self._burst_starts) < 2:
            return None
        times = [at for at, _ in self._burst_starts[-FORECAST_INTERVALS - 1 :]]
        intervals = [
            after - before for before, after in zip(times, times[1:], strict=False)
        ]
        return times[-1] + median(intervals)

    def next_burst_pools(self, pools: set[str]) -> set[str]:
        """Return the pools that may rise next: the new ones, or the longest ago."""
        pools_without_burst = {
            pool for pool in pools if not self.has_recorded_burst(pool)
        }
        if pools_without_burst:
            return pools_without_burst
        latest_start_by_pool = {
            pool: at for at, pool in self._burst_starts if pool in pools
        }
        if not latest_start_by_pool:
            return set()
        return {min(latest_start_by_pool, key=lambda pool: latest_start_by_pool[pool])}
