"""Tell which upstreams run tasks slowly.

Load pattern: servers are uneven. One that runs tasks at half the speed of the others
makes each job late that has one task there, so it is filled last.
"""

import math
from collections import defaultdict
from dataclasses import dataclass

# An upstream is slow if its tasks take this many times as long as those of its pool.
SLOW_RATIO = 1.5
# Fewer ends do not tell whether the tasks or the upstream were slow.
MIN_ENDS = 5
# Part of the distance to the latest end's ratio by which the mean moves.
MEAN_RATE = 0.2


@dataclass(slots=True)
class _Speed:
    pool: str
    # Mean logarithm of the ratio of measured to expected time.
    mean: float = 0.0
    ends: int = 0


@dataclass(slots=True)
class _PoolSpeed:
    # Sum of the means of the pool's upstreams that had ends, and their number.
    total: float = 0.0
    upstreams: int = 0


class UpstreamSpeeds:
    """Compare the run times on each upstream with those on others of its pool."""

    def __init__(self) -> None:
        """Start with equally fast upstreams."""
        self._by_upstream: dict[str, _Speed] = {}
        self._by_pool: dict[str, _PoolSpeed] = defaultdict(_PoolSpeed)

    def observe(
        self, pool: str, upstream: str, measured_seconds: float, expected_seconds: float
    ) -> None:
        """Learn from the end of a run that was done."""
        if measured_seconds <= 0.0 or expected_seconds <= 0.0:
            return
        speed = self._by_upstream.get(upstream)
        if speed is None or speed.pool != pool:
            self.remove_upstream(upstream)
            speed = self._by_upstream[upstream] = _Speed(pool)
            self._by_pool[pool].upstreams += 1
        speed.ends += 1
        # The first ends count equally.
        rate = max(MEAN_RATE, 1 / speed.ends)
        move = rate * (math.log(measured_seconds / expected_seconds) - speed.mean)
        speed.mean += move
        self._by_pool[pool].total += move

    def is_slow(self, upstream: str) -> bool:
        """Return whether tasks take longer on an upstream than on others."""
        speed = self._by_upstream.get(upstream)
        if speed is None or speed.ends < MIN_ENDS:
            return False
        pool = self._by_pool[speed.pool]
        if pool.upstreams < 2:
            return False
        mean_of_others = (pool.total - speed.mean) / (pool.upstreams - 1)
        return speed.mean - mean_of_others > math.log(SLOW_RATIO)

    def remove_upstream(self, upstream: str) -> None:
        """Forget an upstream that is gone."""
        speed = self._by_upstream.pop(upstream, None)
        if speed is not None:
            self._by_pool[speed.pool].total -= speed.mean
            self._by_pool[speed.pool].upstreams -= 1
