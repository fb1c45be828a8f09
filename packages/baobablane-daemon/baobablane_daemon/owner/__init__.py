"""Re-export the owner, the one entry instance that places tasks."""

from ._candidacy import Candidacy, has_wide_link, is_large
from ._owner import Owner
from ._ownership import Ownership

__all__ = ["Candidacy", "Owner", "Ownership", "has_wide_link", "is_large"]
