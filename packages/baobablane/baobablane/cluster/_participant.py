"""Take part in the membership: hold slots, lend units, confirm the view."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass

from ..limits import Escrow, Ledger
from ..log import CheckpointedFold, LogPage
from ..membership import (
    ABSENT,
    MEMBERSHIP_FOLD,
    Member,
    MemberAddress,
    MembershipRecord,
    MembershipState,
    PeerPosition,
    ReclaimPolicy,
    ReclaimTracker,
    ViewLease,
)
from ._duties import MemberDuties

ALIVE_PARTS_OF_SILENCE = 3


@dataclass(frozen=True, slots=True)
class ParticipantTiming:
    """Hold durations in seconds."""

    view_lease_seconds: float
    silence_seconds: float


@dataclass(frozen=True, slots=True)
class Hearing:
    """Hold what a heartbeat says of its sender's position and loans."""

    sender: str
    instance: str
    # This member's monotonic time, in seconds, that the sender last heard of.
    echoed_at: float
    config_next: int
    membership_next: int
    ledger: Ledger


class Participant:
    """Hold one entry instance's part in the membership."""

    def __init__(
        self,
        instance: str,
        address: MemberAddress,
        new_incarnation: Callable[[], str],
        timing: ParticipantTiming,
    ) -> None:
        """Start before joining; `new_incarnation` names this process anew."""
        self._instance = instance
        self._address = address
        self._new_incarnation = new_incarnation
        self._timing = timing
        self._limits: Mapping[str, int] = {}
        self._revision = ABSENT
        self._task_lease_seconds = 0.0
        self.entry_instances = 1
        self.fold = CheckpointedFold(MEMBERSHIP_FOLD)
        self.lease = ViewLease(timing.view_lease_seconds, 1)
        self._begin()

    @property
    def state(self) -> MembershipState:
        """Return the membership as last read."""
        return self.fold.state

    @property
    def incarnation(self) -> str:
        """Return the name of this process towards its peers and the log."""
        return self.duties.incarnation

    def is_member(self) -> bool:
        """Return whether the log lists this process."""
        return self.incarnation in self.state.members_by_incarnation

    def may_run(self, now: float) -> bool:
        """Return whether this member still may use its units."""
        active = self.state.is_active(self.incarnation)
        return active and self.lease.is_confirmed(now)

    def holds_slots(self) -> bool:
        """Return whether this member owns a part of every limit."""
        return bool(self.state.slots_of(self.incarnation))

    def count_heard(self, now: float) -> int:
        """Return how many active members were heard lately, this one included."""
        return len(self.duties.heard_members(self.state, now))

    def is_first_heard(self, now: float) -> bool:
        """Return whether this member is the one that writes for all."""
        active = self.state.is_active(self.incarnation)
        return active and self.duties.is_first_heard(self.state, now)

    def peers(self) -> list[Member]:
        """Return the other active members."""
        members = self.state.active_members()
        return [m for m in members if m.incarnation != self.incarnation]

    def set_config(
        self,
        limits_by_team: Mapping[str, int],
        revision: int,
        entry_instances: int,
        task_lease_seconds: float,
    ) -> None:
        """Apply the upper limits and the longest task lease of a revision."""
        self._limits = limits_by_team
        self._revision = revision
        self._task_lease_seconds = task_lease_seconds
        self.entry_instances = entry_instances
        self.lease.entry_instances = entry_instances
        self.tracker.policy = self._policy()
        self.escrow.set_limits(limits_by_team, revision)

    def read_page(self, page: LogPage, asked_at: float) -> None:
        """Fold a page of the membership stream."""
        self.fold.skip_to(page.first_offset)
        for verdict in self.fold.feed(page.records):
            self.duties.read_back(verdict.record_id)
        if page.records:
            self._changed()
        if self.fold.is_caught_up(page.next_offset):
            self.lease.membership_read(asked_at)

    def adopt(self, record: MembershipRecord, next_offset: int) -> None:
        """Take a peer's checkpoint if it is newer."""
        if self.fold.adopt(record, next_offset):
            self._changed()

    def hear(self, hearing: Hearing, config_next: int, now: float) -> bool:
        """Take a heartbeat and return whether its sender is an active member."""
        if not self.state.is_active(hearing.sender):
            return False
        self.tracker.heard(hearing.sender, now)
        self.duties.heard_at[hearing.sender] = now
        self.duties.positions[hearing.sender] = hearing.membership_next
        self.escrow.hear_ledger(hearing.ledger)
        if self.fold.is_complete:
            position = PeerPosition(
                hearing.instance,
                hearing.echoed_at,
                hearing.config_next,
                hearing.membership_next,
            )
            self.lease.peer_heard(position, config_next, self.fold.next_offset)
        return True

    def due_records(self, now: float) -> list[MembershipRecord]:
        """Return the membership records to write now."""
        self._apply_slots()
        if self._revision == ABSENT or not self.fold.is_complete:
            return []
        self._settle_lapsed(now)
        records = self.duties.due_records(
            self.state, self.escrow, self.tracker, self.entry_instances, now
        )
        self._apply_slots()
        return records

    def trade(self, waiting_by_team: Mapping[str, int], now: float) -> None:
        """Give back units that are not needed, and lend to peers that wait."""
        self.escrow.return_unwanted(waiting_by_team)
        if self.may_run(now):
            self.escrow.lend(waiting_by_team)

    def _begin(self) -> None:
        self.duties = MemberDuties(
            self._new_incarnation(),
            self._instance,
            self._address,
            self._timing.silence_seconds / ALIVE_PARTS_OF_SILENCE,
        )
        self.escrow = Escrow(self.duties.incarnation)
        self.escrow.set_limits(self._limits, self._revision)
        self.tracker = ReclaimTracker(self.duties.incarnation, self._policy())

    def _policy(self) -> ReclaimPolicy:
        return ReclaimPolicy(
            self._timing.silence_seconds,
            self._timing.view_lease_seconds,
            self._task_lease_seconds,
        )

    def _changed(self) -> None:
        me = self.state.members_by_incarnation.get(self.incarnation)
        if me is not None and me.notice_at != ABSENT and not self.duties.leaving:
            # Its units go to others: what still runs is left to the old escrow.
            self._begin()
            return
        for member in self.state.members_by_incarnation.values():
            if member.notice_at != ABSENT:
                self.escrow.peer_noticed(member.incarnation)
        self._apply_slots()

    def _apply_slots(self) -> None:
        owned = self.state.slots_of(self.incarnation)
        self.escrow.set_slots(owned - self.duties.releasing)

    def _settle_lapsed(self, now: float) -> None:
        members = self.state.members_by_incarnation
        for peer in self.escrow.debtors():
            member = members.get(peer)
            ended = member is None or member.reclaimed
            if ended or self.tracker.has_lapsed(peer, now):
                self.escrow.peer_lapsed(peer)
