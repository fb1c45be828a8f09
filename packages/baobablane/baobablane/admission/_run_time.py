"""Estimate the run times of a queue's requests."""

from bisect import insort
from collections import deque

MAX_SAMPLES = 64


class RunTimeEstimate:
    """Estimate quantiles from the latest samples, or from a declared run time."""

    def __init__(self, declared_seconds: float) -> None:
        """Use the declared run time, in seconds, until the first sample is added."""
        self._declared_seconds = declared_seconds
        self._latest: deque[float] = deque()
        self._sorted: list[float] = []

    def observe(self, seconds: float) -> None:
        """Add a sample of the run time, in seconds."""
        self._latest.append(seconds)
        insort(self._sorted, seconds)
        if len(self._latest) > MAX_SAMPLES:
            self._sorted.remove(self._latest.popleft())

    def quantile(self, fraction: float) -> float:
        """Return the run time, in seconds, that a fraction of samples stays below."""
        if not self._sorted:
            return self._declared_seconds
        last = len(self._sorted) - 1
        return self._sorted[round(fraction * last)]
