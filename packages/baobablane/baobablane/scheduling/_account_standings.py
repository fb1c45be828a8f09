"""Tell how far each client account is beyond its share of a pool."""


class AccountStandings:
    """Hold the standing of each client account in each pool."""

    def standing(self, pool: str, account: str) -> float:
        """Return 0.0 for an account within its share, and more the further beyond."""
        return 0.0
