"""Measure a service's failures against its availability budget."""

from collections import deque
from dataclasses import dataclass

from ..errors import Outcome, ResultCode, describe, outcome_of

BUCKETS_PER_WINDOW = 60


@dataclass(slots=True)
class _Bucket:
    started_at: float
    requests: int = 0
    failures: int = 0


def spends_budget(code: ResultCode) -> bool:
    """Return whether a result counts against the service, not the caller."""
    outcome = outcome_of(code)
    if outcome is Outcome.NOT_RUN:
        return describe(code).retryable
    if code in (ResultCode.ALREADY_ATTEMPTED, ResultCode.CANCELLED_RUNNING):
        return False
    return outcome is not Outcome.DONE


class AvailabilityBudget:
    """Count a service's requests and failures over a sliding window."""

    def __init__(self, availability: float, window_seconds: float) -> None:
        """Allow the fraction `1 - availability` of requests to fail.

        Raise ValueError unless `availability` lies between 0 and 1, both excluded.
        """
        if not 0 < availability < 1:
            raise ValueError(f"availability must lie in (0, 1), not {availability}")
        self._permitted_fraction = 1 - availability
        self._window_seconds = window_seconds
        self._buckets: deque[_Bucket] = deque()

    def count(self, code: ResultCode, now: float) -> None:
        """Count one result at the time `now`, in seconds."""
        bucket = self._current_bucket(now)
        bucket.requests += 1
        bucket.failures += spends_budget(code)

    def totals(self, now: float) -> tuple[int, int]:
        """Return the number of requests and of failures in the window."""
        self._expire(now)
        requests = sum(bucket.requests for bucket in self._buckets)
        return requests, sum(bucket.failures for bucket in self._buckets)

    def fraction_left(self, now: float) -> float:
        """Return the fraction of the budget that is left, negative if overspent."""
        requests, failures = self.totals(now)
        if requests == 0:
            return 1.0
        return 1 - failures / (requests * self._permitted_fraction)

    def _current_bucket(self, now: float) -> _Bucket:
        self._expire(now)
        bucket_seconds = self._window_seconds / BUCKETS_PER_WINDOW
        if not self._buckets or now - self._buckets[-1].started_at >= bucket_seconds:
            self._buckets.append(_Bucket(now))
        return self._buckets[-1]

    def _expire(self, now: float) -> None:
        window_start = now - self._window_seconds
        while self._buckets and self._buckets[0].started_at < window_start:
            self._buckets.popleft()
