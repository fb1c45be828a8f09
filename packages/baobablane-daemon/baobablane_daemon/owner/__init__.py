"""Re-export the owner, the one entry instance that places tasks."""

from ._candidacy import Candidacy, has_wide_link, is_large
from ._owner import Owner
from ._owner_link import open_link
from ._ownership import Ownership
from ._planned_stop import keep_until_succeeded
from ._progress_writer import LEAVE_TIMEOUT_SECONDS
from ._succession import Succession

__all__ = [
    "LEAVE_TIMEOUT_SECONDS",
    "Candidacy",
    "Owner",
    "Ownership",
    "Succession",
    "has_wide_link",
    "is_large",
    "keep_until_succeeded",
    "open_link",
]
