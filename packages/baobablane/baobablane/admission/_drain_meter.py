"""Measure how much work each pool does.

Load pattern: declared times are wrong by a factor of up to two, so that a backlogged
pool does up to twice or half as much declared work as it has cores.
"""

from collections import deque
from dataclasses import dataclass, field

WINDOW_SECONDS = 2.0
# Declared times are wrong by at most this factor, and so is the rate; what exceeds it
# comes from cancelled jobs or from a takeover.
MAX_FACTOR = 2.0


@dataclass(slots=True)
class _PoolSamples:
    drained: float = 0.0
    arrived: float | None = None
    open_work: float = 0.0
    # Times in seconds, and the work done until then, while the pool is backlogged.
    samples: deque[tuple[float, float]] = field(default_factory=deque)


class DrainMeter:
    """Hold how much declared work each pool has done, in core-seconds."""

    def __init__(self) -> None:
        """Start without samples."""
        self._pools: dict[str, _PoolSamples] = {}

    def observe(
        self,
        pool: str,
        arrived: float,
        open_work: float,
        is_backlogged: bool,
        now: float,
    ) -> None:
        """Add a sample: all work that ever arrived, and what is not done yet."""
        known = self._pools.setdefault(pool, _PoolSamples())
        if known.arrived is not None:
            done = arrived - known.arrived - (open_work - known.open_work)
            known.drained += max(0.0, done)
        known.arrived, known.open_work = arrived, open_work
        if not is_backlogged:
            # A pool with idle cores does less than it could.
            known.samples.clear()
            return
        known.samples.append((now, known.drained))
        while len(known.samples) > 1 and now - known.samples[1][0] >= WINDOW_SECONDS:
            known.samples.popleft()

    def drained(self, pool: str) -> float:
        """Return the work that a pool has done since the first sample."""
        known = self._pools.get(pool)
        return known.drained if known else 0.0

    def rate(self, pool: str, cores: float) -> float:
        """Return the work that a pool with `cores` does in a second.

        It is as measured if the pool was backlogged for the whole window, and `cores`
        otherwise.
        """
        known = self._pools.get(pool)
        samples = known.samples if known else None
        if not samples or samples[-1][0] - samples[0][0] < WINDOW_SECONDS:
            return cores
        seconds = samples[-1][0] - samples[0][0]
        measured = (samples[-1][1] - samples[0][1]) / seconds
        return min(max(measured, cores / MAX_FACTOR), cores * MAX_FACTOR)
