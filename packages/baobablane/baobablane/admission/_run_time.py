"""Estimate how long a queue's requests run."""

from bisect import insort
from collections import deque

MAX_SAMPLES = 64


class RunTimeEstimate:
    """Hold the latest run times; the declared one counts only until they come."""

    def __init__(self, declared_seconds: float) -> None:
        """Start from the declared run time in seconds."""
        self._declared_seconds = declared_seconds
        self._latest: deque[float] = deque()
        self._sorted: list[float] = []

    def observe(self, seconds: float) -> None:
        """Add a run time."""
        self._latest.append(seconds)
        insort(self._sorted, seconds)
        if len(self._latest) > MAX_SAMPLES:
            self._sorted.remove(self._latest.popleft())

    def quantile(self, fraction: float) -> float:
        """Return the run time, in seconds, that a part of requests stay below."""
        if not self._sorted:
            return self._declared_seconds
        last = len(self._sorted) - 1
        return self._sorted[round(fraction * last)]
