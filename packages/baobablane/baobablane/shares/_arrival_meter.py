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
        interval = 1.0 / per_second
        allowance = max(BURST_ALLOWANCE_SECONDS, (MIN_BURST_JOBS - 1) * interval)
        next_due_at = max(self._next_due_at.get(account, at), at)
        if next_due_at - at > allowance:
            return False
        self._next_due_at[account] = next_due_at + interval
        return True

    def keep_only(self, accounts: Mapping[str, object]) -> None:
        """Forget the accounts that are no longer configured."""
        for account in self._next_due_at.keys() - accounts.keys():
            del self._next_due_at[account]
