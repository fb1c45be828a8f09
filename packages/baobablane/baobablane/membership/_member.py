"""Define the members that the membership stream records."""

import msgspec

from ._ground import NoticeGround

# The offset or revision of something that does not exist.
ABSENT = -1


class MemberAddress(msgspec.Struct, frozen=True):
    """Store where an entry instance accepts peers and operators, and its zone."""

    host: str
    peer_port: int
    operator_port: int
    zone: str


class Member(msgspec.Struct, frozen=True):
    """Represent one incarnation of an entry instance as recorded in the log."""

    incarnation: str
    instance: str
    address: MemberAddress
    # `joined_at`, `alive_at` and `notice_at` are offsets in the membership stream.
    joined_at: int
    alive_at: int
    notice_at: int = ABSENT
    ground: NoticeGround | None = None
    # Whether the slots were freed. The process of a suspected member may be paused and
    # resume later, so the member stays listed after that.
    reclaimed: bool = False

    @property
    def is_confirmed_stopped(self) -> bool:
        """Return whether its process has certainly ended."""
        return self.ground in (NoticeGround.SUPERSEDED, NoticeGround.TERMINATED)
