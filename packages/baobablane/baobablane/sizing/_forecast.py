"""Forecast when the next demand burst starts, and in which pool.

Load pattern: demand comes in bursts, in one queue after another. During its burst, a
queue's demand is several times its mean for some seconds; between bursts it is close
to zero. The intervals between the starts of successive bursts are about equal.
"""

from statistics import median

# Number of intervals, between the latest burst starts, that the forecast is based on.
FORECAST_INTERVALS = 5
# Enough burst starts to cover at least one burst of every pool.
MAX_BURST_STARTS = 100


class BurstForecast:
    """Record the burst starts of all pools and forecast the next one."""

    def __init__(self) -> None:
        """Start without recorded bursts; all times are in Unix seconds."""
        self._burst_starts: list[tuple[float, str]] = []

    def burst_starts(self) -> list[tuple[float, str]]:
        """Return the latest burst starts as (Unix seconds, pool), oldest first."""
        return list(self._burst_starts)

    def restore(self, burst_starts: list[tuple[float, str]]) -> None:
        """Replace the burst starts by those that an earlier owner recorded."""
        self._burst_starts = list(burst_starts)

    def record_burst(self, pool: str, now: float) -> None:
        """Record a burst start, unless the latest burst is the same pool's."""
        if not self._burst_starts or self._burst_starts[-1][1] != pool:
            self._burst_starts.append((now, pool))
            del self._burst_starts[:-MAX_BURST_STARTS]

    def has_recorded_burst(self, pool: str) -> bool:
        """Return whether a burst of the pool is recorded."""
        return any(name == pool for _, name in self._burst_starts)

    def next_burst_start(self) -> float | None:
        """Return when the next burst is expected; None with fewer than two starts."""
        if len(self._burst_starts) < 2:
            return None
        times = [at for at, _ in self._burst_starts[-FORECAST_INTERVALS - 1 :]]
        intervals = [
            after - before for before, after in zip(times, times[1:], strict=False)
        ]
        return times[-1] + median(intervals)

    def next_burst_pools(self, pools: set[str]) -> set[str]:
        """Return the pools that the next burst may occur in.

        These are the pools without a recorded burst. If there are none, it is the pool
        whose latest burst is the longest ago.
        """
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
