"""Bound retries to a fraction of first attempts."""


class RetryBudget:
    """Count tokens that first attempts earn and retries spend."""

    def __init__(self, ratio: float, reserve: float) -> None:
        """Start with `reserve` tokens; each first attempt earns `ratio`.

        Raise ValueError unless `ratio` lies between 0 and 1.
        """
        if not 0 <= ratio <= 1:
            raise ValueError(f"ratio must lie between 0 and 1, not {ratio}")
        self._ratio = ratio
        self._reserve = reserve
        self._tokens = reserve

    def earn(self) -> None:
        """Add the tokens of one first attempt, up to the reserve."""
        self._tokens = min(self._reserve, self._tokens + self._ratio)

    def try_spend(self) -> bool:
        """Spend one token for a retry and return whether there was one."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
