"""Decide when the slots of an unreachable member may be reassigned."""

from collections.abc import Mapping
from dataclasses import dataclass

from ._fold import MembershipState
from ._ground import NoticeGround
from ._member import ABSENT, Member
from ._quorum import quorum_size
from ._record import Notice, Reclaim


@dataclass(frozen=True, slots=True)
class ReclaimPolicy:
    """Store the durations, in seconds, that have to pass before a reclaim."""

    heartbeat_timeout_seconds: float
    view_lease_seconds: float
    task_lease_seconds: float

    @property
    def reclaim_delay_seconds(self) -> float:
        """Return how long a member's work may still run after its notice.

        The time counts from when the instances that have not read the notice are fewer
        than a quorum.
        """
        return self.view_lease_seconds + self.task_lease_seconds


class ReclaimTracker:
    """Track when each member was last alive and when its leases began to expire."""

    def __init__(self, own_incarnation: str, policy: ReclaimPolicy) -> None:
        """Start without a heartbeat from any member."""
        self._own_incarnation = own_incarnation
        self.policy = policy
        self._last_alive_at: dict[str, float] = {}
        self._alive_offsets: dict[str, int] = {}
        self._expiry_started_at: dict[str, float] = {}
        self._terminated_instances: set[str] = set()

    def record_heartbeat(self, incarnation: str, now: float) -> None:
        """Record a heartbeat from a member at a monotonic time in seconds."""
        self._last_alive_at[incarnation] = now

    def set_terminated(self, instances: set[str]) -> None:
        """Set the ids of the instances that the platform lists as "gone"."""
        self._terminated_instances = instances

    def due_records(
        self,
        state: MembershipState,
        entry_instances: int,
        positions_by_instance: Mapping[str, int],
        now: float,
        id_prefix: str,
    ) -> list[Notice | Reclaim]:
        """Return the notices and reclaims that this member should append now.

        `positions_by_instance` has the next offset of the membership stream that each
        reachable instance will read; `now` is a monotonic time in seconds. The ids of
        the records begin with `id_prefix`.
        """
        records: list[Notice | Reclaim] = []
        for member in state.members_by_incarnation.values():
            if member.incarnation == self._own_incarnation:
                continue
            self._update_last_alive_at(member, now)
            record_id = f"{id_prefix}-{member.incarnation}"
            notice = self._make_notice(member, now, record_id)
            if notice is not None:
                records.append(notice)
            if member.notice_at == ABSENT or member.reclaimed:
                continue
            behind_count = _count_behind(state, member.notice_at, positions_by_instance)
            if behind_count < quorum_size(entry_instances):
                # The instances that have not read the notice are no majority, so they
                # can't confirm a view from before the notice any more.
                self._expiry_started_at.setdefault(member.incarnation, now)
            if self.have_leases_expired(member.incarnation, now):
                record = Reclaim(record_id, member.incarnation, member.notice_at)
                records.append(record)
        return records

    def have_leases_expired(self, incarnation: str, now: float) -> bool:
        """Return whether all work of a member under notice is sure to have ended."""
        expiry_started_at = self._expiry_started_at.get(incarnation)
        return (
            expiry_started_at is not None
            and now - expiry_started_at >= self.policy.reclaim_delay_seconds
        )

    def _update_last_alive_at(self, member: Member, now: float) -> None:
        if self._alive_offsets.get(member.incarnation) != member.alive_at:
            self._alive_offsets[member.incarnation] = member.alive_at
            self._last_alive_at[member.incarnation] = now

    def _make_notice(self, member: Member, now: float, record_id: str) -> Notice | None:
        if member.is_confirmed_stopped:
            return None
        if member.instance in self._terminated_instances:
            ground = NoticeGround.TERMINATED
        elif member.notice_at == ABSENT and self._has_timed_out(member, now):
            ground = NoticeGround.SUSPECTED
        else:
            return None
        return Notice(f"{record_id}-n", member.incarnation, member.alive_at, ground)

    def _has_timed_out(self, member: Member, now: float) -> bool:
        last_alive_at = self._last_alive_at.get(member.incarnation, now)
        return now - last_alive_at > self.policy.heartbeat_timeout_seconds


def _count_behind(
    state: MembershipState, notice_at: int, positions_by_instance: Mapping[str, int]
) -> int:
    return sum(
        positions_by_instance.get(member.instance, ABSENT) <= notice_at
        for member in state.members_by_incarnation.values()
        if not member.is_confirmed_stopped
    )
