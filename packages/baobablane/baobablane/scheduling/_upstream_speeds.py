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
# The same for a pool, which has about 20 times as many ends.
POOL_MEAN_RATE = 0.02


@dataclass(slots=True)
class _Speed:
    # Mean logarithm of the ratio of measured to expected time.
    mean: float = 0.0
    ends: int = 0


class UpstreamSpeeds:
    """Compare the run times on each upstream with those of its pool."""

    def __init__(self) -> None:
        """Start with equally fast upstreams."""
        self._by_upstream: dict[str, _Speed] = defaultdict(_Speed)
        self._by_pool: dict[str, _Speed] = defaultdict(_Speed)

    def observe(
        self, pool: str, upstream: str, measured_seconds: float, expected_seconds: float
    ) -> None:
        """Learn from the end of a run that was done."""
        if measured_seconds <= 0.0 or expected_seconds <= 0.0:
            return
        ratio = math.log(measured_seconds / expected_seconds)
        for speed, rate in (
            (self._by_upstream[upstream], MEAN_RATE),
            (self._by_pool[pool], POOL_MEAN_RATE),
        ):
            speed.ends += 1
            # The first ends count equally.
            speed.mean += max(rate, 1 / speed.ends) * (ratio - speed.mean)

    def is_slow(self, pool: str, upstream: str) -> bool:
        """Return whether an upstream takes longer than others of its pool."""
        own = self._by_upstream.get(upstream)
        if own is None or own.ends < MIN_ENDS:
            return False
        return own.mean - self._by_pool[pool].mean > math.log(SLOW_RATIO)

    def remove_upstream(self, upstream: str) -> None:
        """Forget an upstream that is gone or runs a new incarnation."""
        self._by_upstream.pop(upstream, None)
