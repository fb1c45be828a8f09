"""Fold the membership stream into the members and the owners of the slots."""

from collections.abc import Mapping
from dataclasses import dataclass, field, replace

import msgspec

from ._ground import NoticeGround
from ._member import ABSENT, Member
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
from ._slot_plan import SLOT_COUNT

# Number of latest record ids that are kept to detect duplicates.
MAX_RECENT_IDS = 512
# The owner of a free slot.
NO_OWNER = ""


@dataclass(frozen=True, slots=True)
class MembershipState:
    """Store the members and the owner of each slot at one version of the stream."""

    # Offset of the last accepted record other than a checkpoint.
    version: int = ABSENT
    members_by_incarnation: Mapping[str, Member] = field(default_factory=dict)
    owners: tuple[str, ...] = (NO_OWNER,) * SLOT_COUNT
    recent_ids: Mapping[str, None] = field(default_factory=dict)

    def slots_of(self, incarnation: str) -> frozenset[int]:
        """Return the slots that an incarnation owns."""
        owned = (slot for slot, owner in enumerate(self.owners) if owner == incarnation)
        return frozenset(owned)

    def free_slots(self) -> tuple[int, ...]:
        """Return the slots without an owner, in ascending order."""
        return tuple(s for s, owner in enumerate(self.owners) if owner == NO_OWNER)

    def active_members(self) -> tuple[Member, ...]:
        """Return the members that are not under notice, in the order of joining."""
        members = self.members_by_incarnation.values()
        return tuple(m for m in members if m.notice_at == ABSENT)

    def is_active(self, incarnation: str) -> bool:
        """Return whether an incarnation has joined and is not under notice."""
        member = self.members_by_incarnation.get(incarnation)
        return member is not None and member.notice_at == ABSENT


@dataclass(frozen=True, slots=True)
class MembershipApplyResult:
    """Report whether a record was accepted and, if it was rejected, why."""

    record_id: str
    offset: int
    accepted: bool
    reason: str = ""


def apply_record(
    state: MembershipState, offset: int, record: MembershipRecord
) -> tuple[MembershipState, MembershipApplyResult]:
    """Return the state after a record, and whether the record was accepted.

    A rejected record changes at most the recent ids, a checkpoint nothing.
    """
    if record.id in state.recent_ids:
        return state, MembershipApplyResult(record.id, offset, False, "duplicate")
    if isinstance(record, MembershipCheckpoint):
        return state, MembershipApplyResult(record.id, offset, accepted=True)
    changed, reason = _apply_by_type(state, offset, record)
    if reason:
        result = MembershipApplyResult(record.id, offset, False, reason)
        return _with_recent_id(state, record.id), result
    changed = replace(_with_recent_id(changed, record.id), version=offset)
    return changed, MembershipApplyResult(record.id, offset, accepted=True)


def make_checkpoint(
    state: MembershipState, offset: int, record_id: str
) -> MembershipCheckpoint:
    """Return a checkpoint of the state after all records up to an offset."""
    return MembershipCheckpoint(
        id=record_id,
        offset=offset,
        version=state.version,
        members=tuple(state.members_by_incarnation.values()),
        owners=state.owners,
        recent_ids=tuple(state.recent_ids),
    )


def restore_checkpoint(record: MembershipRecord) -> MembershipState:
    """Return the state stored in a checkpoint, or an empty state for other records."""
    if not isinstance(record, MembershipCheckpoint):
        return MembershipState()
    members = {member.incarnation: member for member in record.members}
    ids = dict.fromkeys(record.recent_ids)
    return MembershipState(record.version, members, record.owners, ids)


def _with_recent_id(state: MembershipState, record_id: str) -> MembershipState:
    ids = dict(state.recent_ids)
    ids[record_id] = None
    if len(ids) > MAX_RECENT_IDS:
        del ids[next(iter(ids))]
    return replace(state, recent_ids=ids)


def _apply_by_type(
    state: MembershipState, offset: int, record: MembershipRecord
) -> tuple[MembershipState, str]:
    match record:
        case Join():
            return _apply_join(state, offset, record)
        case Alive():
            return _apply_alive(state, offset, record)
        case Leave():
            return _apply_leave(state, record)
        case Notice():
            return _apply_notice(state, offset, record)
        case Reclaim():
            return _apply_reclaim(state, record)
        case Claim():
            return _apply_claim(state, record)
        case Release():
            return _apply_release(state, record)
        case _:
            return state, ""


def _apply_join(
    state: MembershipState, offset: int, record: Join
) -> tuple[MembershipState, str]:
    if record.incarnation in state.members_by_incarnation:
        return state, f"{record.incarnation} has already joined"
    members = _supersede(state, record.instance, offset)
    members[record.incarnation] = Member(
        incarnation=record.incarnation,
        instance=record.instance,
        address=record.address,
        joined_at=offset,
        alive_at=offset,
    )
    return replace(state, members_by_incarnation=members), ""


def _supersede(state: MembershipState, instance: str, offset: int) -> dict[str, Member]:
    # A process can bind the instance's address only after the older one has ended.
    members: dict[str, Member] = {}
    for name, member in state.members_by_incarnation.items():
        if member.instance != instance:
            members[name] = member
        elif not member.reclaimed:
            members[name] = _with_notice(member, offset, NoticeGround.SUPERSEDED)
    return members


def _apply_alive(
    state: MembershipState, offset: int, record: Alive
) -> tuple[MembershipState, str]:
    if not state.is_active(record.incarnation):
        return state, f"{record.incarnation} is not an active member"
    member = state.members_by_incarnation[record.incarnation]
    return _with_member(state, msgspec.structs.replace(member, alive_at=offset)), ""


def _apply_leave(state: MembershipState, record: Leave) -> tuple[MembershipState, str]:
    if record.incarnation not in state.members_by_incarnation:
        return state, f"{record.incarnation} is not a member"
    return _without_member(state, record.incarnation), ""


def _apply_notice(
    state: MembershipState, offset: int, record: Notice
) -> tuple[MembershipState, str]:
    member = state.members_by_incarnation.get(record.incarnation)
    if member is None or member.is_confirmed_stopped:
        return state, f"{record.incarnation} is not a member"
    if member.notice_at != ABSENT and record.ground is NoticeGround.SUSPECTED:
        return state, f"{record.incarnation} is already under notice"
    if member.alive_at != record.alive_at:
        return state, f"{record.incarnation} was last alive at offset {member.alive_at}"
    if member.reclaimed:
        return _without_member(state, record.incarnation), ""
    return _with_member(state, _with_notice(member, offset, record.ground)), ""


def _apply_reclaim(
    state: MembershipState, record: Reclaim
) -> tuple[MembershipState, str]:
    member = state.members_by_incarnation.get(record.incarnation)
    if member is None or member.notice_at != record.notice_at or member.reclaimed:
        return state, f"no notice for {record.incarnation} at offset {record.notice_at}"
    freed = _without_member(state, record.incarnation)
    if member.is_confirmed_stopped:
        return freed, ""
    return _with_member(freed, msgspec.structs.replace(member, reclaimed=True)), ""


def _apply_claim(state: MembershipState, record: Claim) -> tuple[MembershipState, str]:
    if not state.is_active(record.incarnation):
        return state, f"{record.incarnation} is not an active member"
    owners = list(state.owners)
    for slot in record.slots:
        if 0 <= slot < SLOT_COUNT and owners[slot] == NO_OWNER:
            owners[slot] = record.incarnation
    return replace(state, owners=tuple(owners)), ""


def _apply_release(
    state: MembershipState, record: Release
) -> tuple[MembershipState, str]:
    owners = list(state.owners)
    for slot in record.slots:
        if 0 <= slot < SLOT_COUNT and owners[slot] == record.incarnation:
            owners[slot] = NO_OWNER
    return replace(state, owners=tuple(owners)), ""


def _with_notice(member: Member, offset: int, ground: NoticeGround) -> Member:
    notice_at = offset if member.notice_at == ABSENT else member.notice_at
    return msgspec.structs.replace(member, notice_at=notice_at, ground=ground)


def _with_member(state: MembershipState, member: Member) -> MembershipState:
    members = dict(state.members_by_incarnation)
    members[member.incarnation] = member
    return replace(state, members_by_incarnation=members)


def _without_member(state: MembershipState, incarnation: str) -> MembershipState:
    members = dict(state.members_by_incarnation)
    members.pop(incarnation, None)
    owners = tuple(NO_OWNER if o == incarnation else o for o in state.owners)
    return replace(state, members_by_incarnation=members, owners=owners)
