"""Count the resources that each client account uses."""

import math
from collections import defaultdict
from collections.abc import Mapping

from ..deployment import NO_RESOURCES, ClientAccount, Resources


class AccountUsage:
    """Count the resources used by each client account's runs until they have ended."""

    def __init__(self) -> None:
        """Start without any runs."""
        self._used: dict[str, Resources] = defaultdict(lambda: NO_RESOURCES)
        self._accounts: Mapping[str, ClientAccount] = {}

    def set_accounts(self, accounts_by_name: Mapping[str, ClientAccount]) -> None:
        """Apply the limits and weights of the accounts in force."""
        self._accounts = accounts_by_name

    def allows(self, account: str, needs: Resources) -> bool:
        """Return whether one more run stays within an account's limit."""
        limits = self._accounts.get(account)
        if limits is None:
            return True
        return (self._used[account] + needs).fits_under_cap(limits.cap)

    def cores_left(self, account: str) -> float:
        """Return the cores that an account may still use under its limit."""
        limits = self._accounts.get(account)
        if limits is None or not limits.cap.cpu_millis:
            return math.inf
        left_millis = limits.cap.cpu_millis - self._used[account].cpu_millis
        return max(0.0, left_millis / 1000)

    def used(self) -> Mapping[str, Resources]:
        """Return the resources that are counted as used, by account."""
        return self._used

    def add(self, account: str, needs: Resources) -> None:
        """Add the resources of a run."""
        if account:
            self._used[account] = self._used[account] + needs

    def remove(self, account: str, needs: Resources) -> None:
        """Subtract the resources of a run."""
        if account:
            self._used[account] = self._used[account] - needs
