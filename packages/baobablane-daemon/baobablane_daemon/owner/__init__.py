"""Re-export the owner: the one entry instance that places tasks."""

from ._candidacy import Candidacy, is_large
from ._membership import GroupMember
from ._owner import Owner

__all__ = ["Candidacy", "GroupMember", "Owner", "is_large"]
