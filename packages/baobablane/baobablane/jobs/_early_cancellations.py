"""Count the cancellations of jobs that are unknown."""

from collections import Counter


class EarlyCancellations:
    """Hold the ids that were cancelled before their job was read, by account.

    The append of a job may be carried out seconds later, or never.
    """

    def __init__(self) -> None:
        """Start without cancellations."""
        self.account_by_id: dict[str, str] = {}
        self.count_by_account: Counter[str] = Counter()

    def add(self, job_id: str, account: str) -> None:
        """Add a cancellation; a known one stays unchanged."""
        if job_id not in self.account_by_id:
            self.account_by_id[job_id] = account
            self.count_by_account[account] += 1

    def discard(self, job_id: str) -> None:
        """Remove a cancellation, unless it is unknown."""
        account = self.account_by_id.pop(job_id, None)
        if account is None:
            return
        self.count_by_account[account] -= 1
        if not self.count_by_account[account]:
            del self.count_by_account[account]
