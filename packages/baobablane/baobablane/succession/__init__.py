"""Re-export the decisions on who becomes the next owner, and when."""

from ._line import MAX_WATCHERS, RANK_DELAY_SECONDS, line_of_succession
from ._owner_contact import OwnerContact
from ._owner_signs import OwnerSigns
from ._suspicion import Suspicion, find_suspicion

__all__ = [
    "MAX_WATCHERS",
    "RANK_DELAY_SECONDS",
    "OwnerContact",
    "OwnerSigns",
    "Suspicion",
    "find_suspicion",
    "line_of_succession",
]
