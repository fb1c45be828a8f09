"""Re-export the owner: the one entry instance that places tasks."""

from ._membership import GroupMember
from ._owner import Owner

__all__ = ["GroupMember", "Owner"]
