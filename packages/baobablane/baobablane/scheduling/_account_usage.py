"""Count what each client account has running."""

from collections import defaultdict
from collections.abc import Mapping

from ..deployment import NO_RESOURCES, ClientAccount, Resources


class AccountUsage:
    """Hold the resources that each client account's runs have, stopping ones too."""

    def __init__(self) -> None:
        """Start with nothing running."""
        self._used: dict[str, Resources] = defaultdict(lambda: NO_RESOURCES)
        self._accounts: Mapping[str, ClientAccount] = {}

    def set_accounts(self, accounts_by_name: Mapping[str, ClientAccount]) -> None:
        """Apply the upper limits in force."""
        self._accounts = accounts_by_name

    def allows(self, account: str, needs: Resources) -> bool:
        """Return whether one more run stays within an account's upper limit."""
        limits = self._accounts.get(account)
        if limits is None:
            return True
        return (self._used[account] + needs).fits_under_cap(limits.cap)

    def add(self, account: str, needs: Resources) -> None:
        """Count a run."""
        if account:
            self._used[account] = self._used[account] + needs

    def remove(self, account: str, needs: Resources) -> None:
        """Stop counting a run."""
        if account:
            self._used[account] = self._used[account] - needs

    def share_used(self, account: str) -> float:
        """Return the cores in use for each unit of weight."""
        limits = self._accounts.get(account)
        if limits is None:
            return 0.0
        return self._used[account].cpu_millis / 1000 / max(limits.weight, 1e-9)
