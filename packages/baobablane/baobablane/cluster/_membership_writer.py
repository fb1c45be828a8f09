"""Decide which membership records this entry instance appends."""

from dataclasses import dataclass

from ..limits import Escrow
from ..membership import (
    Alive,
    Claim,
    Join,
    Leave,
    MemberAddress,
    MembershipRecord,
    MembershipState,
    ReclaimTracker,
    Release,
    plan_slots,
    quorum_size,
)

# Time after which a record that has not been read back is appended again.
RETRY_SECONDS = 1.0
# How long after its last heartbeat a member counts as reachable.
REACHABLE_SECONDS = 2.0


@dataclass(slots=True)
class _Pending:
    record: MembershipRecord
    written_at: float


class MembershipWriter:
    """Choose the records of one member, and retry each until it is read back."""

    def __init__(
        self,
        incarnation: str,
        instance: str,
        address: MemberAddress,
        alive_interval_seconds: float,
    ) -> None:
        """Start before joining.

        While no majority is reachable, an Alive record is due every
        `alive_interval_seconds`.
        """
        self.incarnation = incarnation
        self._instance = instance
        self._address = address
        self._alive_interval_seconds = alive_interval_seconds
        self._alive_written_at = float("-inf")
        self._pending: _Pending | None = None
        self._sequence = 0
        self.releasing_slots: frozenset[int] = frozenset()
        self.last_heartbeat_at: dict[str, float] = {}
        self.positions_by_incarnation: dict[str, int] = {}
        self.leaving = False

    def clear_pending(self, record_id: str) -> None:
        """Clear the pending record if the record just read has its id."""
        if self._pending is not None and self._pending.record.id == record_id:
            if isinstance(self._pending.record, Release):
                self.releasing_slots = frozenset()
            self._pending = None

    def due_records(
        self,
        state: MembershipState,
        escrow: Escrow,
        tracker: ReclaimTracker,
        entry_instances: int,
        now: float,
    ) -> list[MembershipRecord]:
        """Return the records to append now, including a retry of one not read back.

        `now` is a monotonic time in seconds.
        """
        records: list[MembershipRecord] = []
        own_record = self._due_own_record(state, escrow, entry_instances, now)
        if own_record is not None:
            records.append(own_record)
        if state.is_active(self.incarnation) and self.is_coordinator(state, now):
            positions = self._reachable_positions(state, now)
            records.extend(
                tracker.due_records(
                    state, entry_instances, positions, now, self._new_id()
                )
            )
        return records

    def reachable_members(self, state: MembershipState, now: float) -> list[str]:
        """Return the active members with a recent heartbeat, and this one if active."""
        return [
            member.incarnation
            for member in state.active_members()
            if member.incarnation == self.incarnation
            or now - self.last_heartbeat_at.get(member.incarnation, float("-inf"))
            <= REACHABLE_SECONDS
        ]

    def is_coordinator(self, state: MembershipState, now: float) -> bool:
        """Return whether this member acts on behalf of all members.

        It is the reachable member with the lowest incarnation name. Members that reach
        different peers may disagree, so more than one may act at a time.
        """
        return min(self.reachable_members(state, now), default="") == self.incarnation

    def _reachable_positions(
        self, state: MembershipState, now: float
    ) -> dict[str, int]:
        positions: dict[str, int] = {self._instance: state.version + 1}
        for member in state.active_members():
            if member.incarnation in self.reachable_members(state, now):
                position = self.positions_by_incarnation.get(member.incarnation, 0)
                positions.setdefault(member.instance, position)
        return positions

    def _due_own_record(
        self, state: MembershipState, escrow: Escrow, entry_instances: int, now: float
    ) -> MembershipRecord | None:
        if self._pending is not None:
            if now - self._pending.written_at < RETRY_SECONDS:
                return None
            self._pending.written_at = now
            return self._pending.record
        record = self._next_own_record(state, escrow, entry_instances, now)
        if record is not None:
            self._pending = _Pending(record, now)
        return record

    def _next_own_record(
        self, state: MembershipState, escrow: Escrow, entry_instances: int, now: float
    ) -> MembershipRecord | None:
        incarnation = self.incarnation
        if incarnation not in state.members_by_incarnation:
            if self.leaving:
                return None
            return Join(self._new_id(), incarnation, self._instance, self._address)
        if not state.is_active(incarnation):
            return None
        if self.leaving:
            return Leave(self._new_id(), incarnation) if escrow.is_settled() else None
        if self._is_alive_record_due(state, entry_instances, now):
            self._alive_written_at = now
            return Alive(self._new_id(), incarnation)
        return self._next_slot_record(state, escrow)

    def _next_slot_record(
        self, state: MembershipState, escrow: Escrow
    ) -> MembershipRecord | None:
        owned = state.slots_of(self.incarnation)
        if self.releasing_slots:
            if not escrow.fits_without(()):
                return None
            return Release(
                self._new_id(), self.incarnation, tuple(sorted(self.releasing_slots))
            )
        plan = plan_slots(owned, state.free_slots(), len(state.active_members()))
        if plan.release:
            # New work must stop using these slots before they are released.
            self.releasing_slots = frozenset(plan.release)
            return None
        if plan.claim:
            return Claim(self._new_id(), self.incarnation, plan.claim)
        return None

    def _is_alive_record_due(
        self, state: MembershipState, entry_instances: int, now: float
    ) -> bool:
        if len(state.active_members()) < 2:
            return False
        reachable = len(self.reachable_members(state, now))
        if reachable >= min(quorum_size(entry_instances), len(state.active_members())):
            return False
        return now - self._alive_written_at >= self._alive_interval_seconds

    def _new_id(self) -> str:
        self._sequence += 1
        return f"{self.incarnation}.{self._sequence}"
