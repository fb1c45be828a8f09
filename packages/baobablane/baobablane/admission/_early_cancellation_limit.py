"""Bound the cancellations that are kept of jobs that are unknown.

Load pattern: a client cancels ids that no job has, as fast as it can. Each cancellation
has to hold for a job that arrives later, so it is kept for minutes by every process.
"""

from collections.abc import Mapping

# The share of a process's memory that early cancellations may take.
MEMORY_SHARE = 0.01
# What one takes in the tables of a process, rounded up (bench/early_cancellations.py).
BYTES_PER_CANCELLATION = 600


def early_cancellation_limit(memory_mb: float) -> int:
    """Return how many early cancellations are kept, given what a process may use."""
    return int(MEMORY_SHARE * memory_mb * 1_000_000 / BYTES_PER_CANCELLATION)


def may_keep_early_cancellation(
    count_by_account: Mapping[str, int], account: str, limit: int
) -> bool:
    """Return whether one more early cancellation of an account may be kept.

    An account may hold as many as are still free, so that one account takes half of
    them at most, and any number of accounts leave some to the next one.
    """
    free = limit - sum(count_by_account.values())
    return count_by_account.get(account, 0) < free
