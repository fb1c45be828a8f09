"""Define the bound that ends a wait."""

from typing import NamedTuple


class WaitBound(NamedTuple):
    """Hold when a wait ends at the latest, and the event from which that counts."""

    ends_at: float
    since: str
    # The owner that may have renewed the lease last, if that was an earlier one.
    epoch: int | None = None
