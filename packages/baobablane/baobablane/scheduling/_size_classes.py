"""Keep the large jobs' part of the results in time.

Load pattern: a burst is more than its pool can finish in time, and jobs with less work
go first. Without a bound, none of the largest jobs would be in time. A queue's jobs are
divided into classes by size, and a class whose part falls behind goes first.
"""

import math
from collections import deque
from dataclasses import dataclass, field

SMALL, UPPER, LARGEST = 0, 1, 2
# Quantiles above which a job belongs to the largest tenth, or to the fifth below it.
LARGEST_QUANTILE = 0.9
UPPER_QUANTILE = 0.7
# Number of latest jobs of a queue from which the quantiles are taken, and the least.
MAX_SIZES = 400
MIN_SIZES = 20
# Sizes are sorted once in this many arrivals.
SORT_INTERVAL = 10
# A class's fraction of jobs in time is kept at this part of its whole queue's. The rule
# is one half. In replays, 0.7 left the largest tenth below it, since some of its jobs
# begin in time and end late; 1.0 cost a tenth of all results in time, or more.
PROTECTED_PART = 0.8
# Counts lose half their weight in this time, so that the jobs of an earlier burst count
# little in the next one of the same queue, about 34 s later.
HALF_LIFE_SECONDS = 15.0


@dataclass(slots=True)
class _QueueCounts:
    sizes: deque[float] = field(default_factory=lambda: deque(maxlen=MAX_SIZES))
    unsorted_arrivals: int = 0
    upper_above: float = math.inf
    largest_above: float = math.inf
    counted_at: float = 0.0
    # By class: jobs that arrived, and those of them that began or ended in time.
    arrived: list[float] = field(default_factory=lambda: [0.0, 0.0, 0.0])
    kept: list[float] = field(default_factory=lambda: [0.0, 0.0, 0.0])


class SizeClasses:
    """Count by queue and class how many jobs arrived, and how many are in time."""

    def __init__(self) -> None:
        """Start without jobs."""
        self._counts_by_queue: dict[str, _QueueCounts] = {}

    def add_job(self, queue: str, core_seconds: float, now: float) -> int:
        """Count a job's arrival, and return its class."""
        counts = self._counts_by_queue.setdefault(queue, _QueueCounts(counted_at=now))
        size_class = _classify(counts, core_seconds)
        counts.sizes.append(core_seconds)
        counts.unsorted_arrivals += 1
        if len(counts.sizes) >= MIN_SIZES and counts.unsorted_arrivals >= SORT_INTERVAL:
            counts.unsorted_arrivals = 0
            ordered = sorted(counts.sizes)
            counts.upper_above = ordered[int(UPPER_QUANTILE * len(ordered)) - 1]
            counts.largest_above = ordered[int(LARGEST_QUANTILE * len(ordered)) - 1]
        fraction = 0.5 ** (max(0.0, now - counts.counted_at) / HALF_LIFE_SECONDS)
        counts.counted_at = now
        counts.arrived = [number * fraction for number in counts.arrived]
        counts.kept = [number * fraction for number in counts.kept]
        counts.arrived[size_class] += 1.0
        return size_class

    def count_kept(self, queue: str, size_class: int) -> None:
        """Count a job that began in time."""
        counts = self._counts_by_queue.get(queue)
        if counts is not None:
            counts.kept[size_class] += 1.0

    def count_missed(self, queue: str, size_class: int) -> None:
        """Withdraw a job that began in time and became late."""
        counts = self._counts_by_queue.get(queue)
        if counts is not None:
            counts.kept[size_class] = max(0.0, counts.kept[size_class] - 1.0)

    def missing(self, queue: str, size_class: int) -> int:
        """Return how many more jobs of a class should begin before smaller ones."""
        counts = self._counts_by_queue.get(queue)
        if counts is None:
            return 0
        fraction = sum(counts.kept) / max(sum(counts.arrived), 1.0)
        wanted = PROTECTED_PART * min(1.0, fraction) * counts.arrived[size_class]
        return max(0, math.ceil(wanted - counts.kept[size_class]))


def _classify(counts: _QueueCounts, core_seconds: float) -> int:
    if core_seconds > counts.largest_above:
        return LARGEST
    return UPPER if core_seconds > counts.upper_above else SMALL
