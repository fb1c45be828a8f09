"""Take part in the membership: own slots, lend units and confirm the view."""

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
from ._membership_writer import MembershipWriter

# Alive records that a member without a reachable majority appends per heartbeat
# timeout.
ALIVE_RECORDS_PER_TIMEOUT = 3


@dataclass(frozen=True, slots=True)
class ParticipantTiming:
    """Store how long a view and a member stay valid without confirmation."""

    view_lease_seconds: float
    heartbeat_timeout_seconds: float


@dataclass(frozen=True, slots=True)
class PeerHeartbeat:
    """Store the positions and the loans of the sender of a heartbeat."""

    sender: str
    instance: str
    # Send time of the last heartbeat from this member that the sender received, as this
    # member's monotonic time in seconds.
    echoed_at: float
    # Offsets of the next records that the sender will read in each stream.
    config_next: int
    membership_next: int
    ledger: Ledger


class Participant:
    """Represent one entry instance in the membership."""

    def __init__(
        self,
        instance: str,
        address: MemberAddress,
        new_incarnation: Callable[[], str],
        timing: ParticipantTiming,
    ) -> None:
        """Start before joining; `new_incarnation` returns a name not used before."""
        self._instance = instance
        self._address = address
        self._new_incarnation = new_incarnation
        self._timing = timing
        self._limits: Mapping[str, int] = {}
        self._revision = ABSENT
        self._task_lease_seconds = 0.0
        self.entry_instances = 1
        self.fold = CheckpointedFold(MEMBERSHIP_FOLD)
        self.view_lease = ViewLease(timing.view_lease_seconds, 1)
        self._start_incarnation()

    @property
    def state(self) -> MembershipState:
        """Return the membership as last read."""
        return self.fold.state

    @property
    def incarnation(self) -> str:
        """Return the name of this process in the log and among its peers."""
        return self.writer.incarnation

    def is_member(self) -> bool:
        """Return whether the log lists this process as a member."""
        return self.incarnation in self.state.members_by_incarnation

    def may_run(self, now: float) -> bool:
        """Return whether this member may use its units now.

        It must be an active member with a confirmed view. `now` is a monotonic time in
        seconds.
        """
        active = self.state.is_active(self.incarnation)
        return active and self.view_lease.is_confirmed(now)

    def owns_slots(self) -> bool:
        """Return whether this member owns slots, and with them a part of the limits."""
        return bool(self.state.slots_of(self.incarnation))

    def count_reachable(self, now: float) -> int:
        """Return how many active members are reachable, this one included."""
        return len(self.writer.reachable_members(self.state, now))

    def is_coordinator(self, now: float) -> bool:
        """Return whether this member is active and acts on behalf of all members."""
        active = self.state.is_active(self.incarnation)
        return active and self.writer.is_coordinator(self.state, now)

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
        self.view_lease.entry_instances = entry_instances
        self.tracker.policy = self._reclaim_policy()
        self.escrow.set_limits(limits_by_team, revision)

    def apply_page(self, page: LogPage, requested_at: float) -> None:
        """Apply a page of the membership stream, requested at a monotonic time."""
        self.fold.skip_to(page.first_offset)
        for result in self.fold.feed(page.records):
            self.writer.clear_pending(result.record_id)
        if page.records:
            self._apply_membership_change()
        if self.fold.is_caught_up(page.next_offset):
            self.view_lease.record_membership_read(requested_at)

    def adopt_checkpoint(self, record: MembershipRecord, next_offset: int) -> None:
        """Replace the state by a peer's checkpoint if that is newer.

        `next_offset` is the offset of the next record that the peer will read.
        """
        if self.fold.adopt(record, next_offset):
            self._apply_membership_change()

    def receive_heartbeat(
        self, heartbeat: PeerHeartbeat, config_next: int, now: float
    ) -> bool:
        """Apply a heartbeat, and return whether its sender is an active member.

        A heartbeat from any other sender has no effect. `config_next` is the offset of
        the next configuration record that this instance will read.
        """
        if not self.state.is_active(heartbeat.sender):
            return False
        self.tracker.record_heartbeat(heartbeat.sender, now)
        self.writer.last_heartbeat_at[heartbeat.sender] = now
        self.writer.positions_by_incarnation[heartbeat.sender] = (
            heartbeat.membership_next
        )
        self.escrow.apply_ledger(heartbeat.ledger)
        if self.fold.is_complete:
            position = PeerPosition(
                heartbeat.instance,
                heartbeat.echoed_at,
                heartbeat.config_next,
                heartbeat.membership_next,
            )
            self.view_lease.record_peer_position(
                position, config_next, self.fold.next_offset
            )
        return True

    def due_records(self, now: float) -> list[MembershipRecord]:
        """Return the membership records to append now."""
        self._apply_slots()
        if self._revision == ABSENT or not self.fold.is_complete:
            return []
        self._reclaim_expired_loans(now)
        records = self.writer.due_records(
            self.state, self.escrow, self.tracker, self.entry_instances, now
        )
        self._apply_slots()
        return records

    def rebalance_units(self, waiting_by_team: Mapping[str, int], now: float) -> None:
        """Give back borrowed units without demand; lend to peers with waiting work."""
        self.escrow.return_unwanted(waiting_by_team)
        if self.may_run(now):
            self.escrow.lend(waiting_by_team)

    def _start_incarnation(self) -> None:
        self.writer = MembershipWriter(
            self._new_incarnation(),
            self._instance,
            self._address,
            self._timing.heartbeat_timeout_seconds / ALIVE_RECORDS_PER_TIMEOUT,
        )
        self.escrow = Escrow(self.writer.incarnation)
        self.escrow.set_limits(self._limits, self._revision)
        self.tracker = ReclaimTracker(self.writer.incarnation, self._reclaim_policy())

    def _reclaim_policy(self) -> ReclaimPolicy:
        return ReclaimPolicy(
            self._timing.heartbeat_timeout_seconds,
            self._timing.view_lease_seconds,
            self._task_lease_seconds,
        )

    def _apply_membership_change(self) -> None:
        own_member = self.state.members_by_incarnation.get(self.incarnation)
        if (
            own_member is not None
            and own_member.notice_at != ABSENT
            and not self.writer.leaving
        ):
            # Its units go to other members, so it rejoins as a new incarnation. The old
            # escrow continues to count what still runs.
            self._start_incarnation()
            return
        for member in self.state.members_by_incarnation.values():
            if member.notice_at != ABSENT:
                self.escrow.drop_loans_from(member.incarnation)
        self._apply_slots()

    def _apply_slots(self) -> None:
        owned = self.state.slots_of(self.incarnation)
        self.escrow.set_slots(owned - self.writer.releasing_slots)

    def _reclaim_expired_loans(self, now: float) -> None:
        members = self.state.members_by_incarnation
        for peer in self.escrow.borrowers():
            member = members.get(peer)
            is_reclaimed = member is None or member.reclaimed
            if is_reclaimed or self.tracker.have_leases_expired(peer, now):
                self.escrow.reclaim_loans_to(peer)
