"""Define the records of the membership stream."""

import msgspec

from ._ground import NoticeGround
from ._member import Member, MemberAddress


class Join(msgspec.Struct, frozen=True, tag="join"):
    """Announce a new incarnation of an entry instance."""

    id: str
    incarnation: str
    instance: str
    address: MemberAddress


class Alive(msgspec.Struct, frozen=True, tag="alive"):
    """Report that a member is alive although its heartbeats may not reach its peers."""

    id: str
    incarnation: str


class Leave(msgspec.Struct, frozen=True, tag="leave"):
    """Remove a member that has no running work and no loans."""

    id: str
    incarnation: str


class Notice(msgspec.Struct, frozen=True, tag="notice"):
    """Put a member under notice, unless it was alive after the offset `alive_at`.

    A member under notice starts no new work once it has read the notice, and its slots
    are freed after its leases have expired.
    """

    id: str
    incarnation: str
    alive_at: int
    ground: NoticeGround


class Reclaim(msgspec.Struct, frozen=True, tag="reclaim"):
    """Free the slots of a member under notice whose leases have all expired.

    `notice_at` is the offset of its notice.
    """

    id: str
    incarnation: str
    notice_at: int


class Claim(msgspec.Struct, frozen=True, tag="claim"):
    """Claim free slots; slots that already have an owner are skipped."""

    id: str
    incarnation: str
    slots: tuple[int, ...]


class Release(msgspec.Struct, frozen=True, tag="release"):
    """Release slots that the member has already stopped using."""

    id: str
    incarnation: str
    slots: tuple[int, ...]


class MembershipCheckpoint(msgspec.Struct, frozen=True, tag="checkpoint"):
    """Store the whole state up to an offset, so that older records may expire."""

    id: str
    offset: int
    version: int
    members: tuple[Member, ...]
    owners: tuple[str, ...]
    recent_ids: tuple[str, ...]


MembershipRecord = (
    Join | Alive | Leave | Notice | Reclaim | Claim | Release | MembershipCheckpoint
)
