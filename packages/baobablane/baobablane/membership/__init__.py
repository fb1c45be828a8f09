"""Re-export membership records, the division of slots and the lease of the view."""

from ._codec import MEMBERSHIP_FOLD, decode_record, encode_record
from ._fold import MembershipApplyResult, MembershipState, apply_record, make_checkpoint
from ._ground import NoticeGround
from ._member import ABSENT, Member, MemberAddress
from ._quorum import quorum_size
from ._reclaim import ReclaimPolicy, ReclaimTracker
from ._record import (
    Alive,
    Claim,
    Join,
    Leave,
    MembershipCheckpoint,
    MembershipRecord,
    Notice,
    Reclaim,
    Release,
)
from ._slot_plan import SLOT_COUNT, SlotPlan, plan_slots
from ._view_lease import PeerPosition, ViewLease

__all__ = [
    "ABSENT",
    "MEMBERSHIP_FOLD",
    "SLOT_COUNT",
    "Alive",
    "Claim",
    "Join",
    "Leave",
    "Member",
    "MemberAddress",
    "MembershipApplyResult",
    "MembershipCheckpoint",
    "MembershipRecord",
    "MembershipState",
    "Notice",
    "NoticeGround",
    "PeerPosition",
    "Reclaim",
    "ReclaimPolicy",
    "ReclaimTracker",
    "Release",
    "SlotPlan",
    "ViewLease",
    "apply_record",
    "decode_record",
    "encode_record",
    "make_checkpoint",
    "plan_slots",
    "quorum_size",
]
