"""Tell which arrivals of an account are within its entitled rate.

Load pattern: one account sends five to twenty times its usual rate for 5 to 8 s, while
others send at their usual rates with short clusters of jobs.
"""

from collections.abc import Mapping

# Clusters of a few seconds at several times the entitled rate are usual traffic.
BURST_ALLOWANCE_SECONDS = 3.0
# With independent arrivals at a low rate, two or three jobs often come together.
MIN_BURST_JOBS = 4


class ArrivalMeter:
    """Track the entitled rate of each account by the generic cell rate algorithm.

    Arrivals beyond the rate use up nothing, so the account keeps its entitled rate
    during a flood, and no debt remains after it.
    """

    def __init__(self) -> None:
        """Start with the full allowance for every account."""
        self._next_due_at: dict[str, float] = {}

    def is_within_rate(self, account: str, per_second: float, at: float) -> bool:
        """Count an arrival at a time in seconds, and return whether it is entitled."""
        next_due_at = max(self._next_due_at.get(account, at), at)
        if next_due_at - at > _allowance_seconds(per_second):
            return False
        self._next_due_at[account] = next_due_at + 1.0 / per_second
        return True

    def has_half_allowance(self, account: str, per_second: float, at: float) -> bool:
        """Return whether at least half of an account's allowance is left."""
        used_seconds = self._next_due_at.get(account, at) - at
        return used_seconds <= _allowance_seconds(per_second) / 2

    def keep_only(self, accounts: Mapping[str, object]) -> None:
        """Forget the accounts that are no longer configured."""
        for account in self._next_due_at.keys() - accounts.keys():
            del self._next_due_at[account]


def _allowance_seconds(per_second: float) -> float:
    return max(BURST_ALLOWANCE_SECONDS, (MIN_BURST_JOBS - 1) / per_second)
