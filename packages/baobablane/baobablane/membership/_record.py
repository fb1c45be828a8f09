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
    """Refute a suspicion, by a member that its peers may not hear."""

    id: str
    incarnation: str


class Leave(msgspec.Struct, frozen=True, tag="leave"):
    """End a member that has nothing running and no loans."""

    id: str
    incarnation: str


class Notice(msgspec.Struct, frozen=True, tag="notice"):
    """Announce that a member, last alive at an offset, is taken to be gone."""

    id: str
    incarnation: str
    alive_at: int
    ground: NoticeGround


class Reclaim(msgspec.Struct, frozen=True, tag="reclaim"):
    """Free the slots of a member whose leases have all lapsed."""

    id: str
    incarnation: str
    notice_at: int


class Claim(msgspec.Struct, frozen=True, tag="claim"):
    """Take free slots; those already taken by another are left out."""

    id: str
    incarnation: str
    slots: tuple[int, ...]


class Release(msgspec.Struct, frozen=True, tag="release"):
    """Give up slots that the member has already stopped using."""

    id: str
    incarnation: str
    slots: tuple[int, ...]


class MembershipCheckpoint(msgspec.Struct, frozen=True, tag="checkpoint"):
    """Carry the whole fold up to an offset, so that older records may expire."""

    id: str
    offset: int
    version: int
    members: tuple[Member, ...]
    owners: tuple[str, ...]
    recent_ids: tuple[str, ...]


MembershipRecord = (
    Join | Alive | Leave | Notice | Reclaim | Claim | Release | MembershipCheckpoint
)
