"""Describe one running entry instance."""

import msgspec

from ._ground import NoticeGround

ABSENT = -1


class MemberAddress(msgspec.Struct, frozen=True):
    """Hold where an entry instance listens for its peers."""

    host: str
    peer_port: int
    operator_port: int
    zone: str


class Member(msgspec.Struct, frozen=True):
    """Hold one incarnation of an entry instance as the log knows it."""

    incarnation: str
    instance: str
    address: MemberAddress
    joined_at: int
    alive_at: int
    notice_at: int = ABSENT
    ground: NoticeGround | None = None
    # A suspected member stays listed after its slots are freed, as it may be paused.
    reclaimed: bool = False

    @property
    def is_confirmed_stopped(self) -> bool:
        """Return whether its process can't be running any more."""
        return self.ground in (NoticeGround.SUPERSEDED, NoticeGround.TERMINATED)
