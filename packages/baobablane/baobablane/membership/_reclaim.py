"""Decide when the slots of a silent member may be given to others."""

from collections.abc import Mapping
from dataclasses import dataclass

from ._fold import MembershipState
from ._ground import NoticeGround
from ._member import ABSENT, Member
from ._quorum import quorum_size
from ._record import Notice, Reclaim


@dataclass(frozen=True, slots=True)
class ReclaimPolicy:
    """Hold the durations, in seconds, that a reclaim has to wait for."""

    silence_seconds: float
    view_lease_seconds: float
    task_lease_seconds: float

    @property
    def wait_seconds(self) -> float:
        """Return the time after which nothing of a noticed member still runs."""
        return self.view_lease_seconds + self.task_lease_seconds


class ReclaimTracker:
    """Hold when each member was heard and when each notice took hold."""

    def __init__(self, me: str, policy: ReclaimPolicy) -> None:
        """Start without having heard anyone."""
        self._me = me
        self.policy = policy
        self._heard_at: dict[str, float] = {}
        self._alive_at: dict[str, int] = {}
        self._lapse_from: dict[str, float] = {}
        self._terminated: set[str] = set()

    def heard(self, incarnation: str, now: float) -> None:
        """Note a message of a member."""
        self._heard_at[incarnation] = now

    def terminated(self, instances: set[str]) -> None:
        """Note the instances that the platform has listed as gone."""
        self._terminated = instances

    def due_records(
        self,
        state: MembershipState,
        entry_instances: int,
        positions_by_instance: Mapping[str, int],
        now: float,
        new_id: str,
    ) -> list[Notice | Reclaim]:
        """Return the records that this member should write now."""
        records: list[Notice | Reclaim] = []
        for member in state.members_by_incarnation.values():
            if member.incarnation == self._me:
                continue
            self._note_alive(member, now)
            record_id = f"{new_id}-{member.incarnation}"
            notice = self._notice(member, now, record_id)
            if notice is not None:
                records.append(notice)
            if member.notice_at == ABSENT or member.reclaimed:
                continue
            unaware = _count_unaware(state, member.notice_at, positions_by_instance)
            if unaware < quorum_size(entry_instances):
                # No majority that could confirm an older view is left.
                self._lapse_from.setdefault(member.incarnation, now)
            if self.has_lapsed(member.incarnation, now):
                record = Reclaim(record_id, member.incarnation, member.notice_at)
                records.append(record)
        return records

    def has_lapsed(self, incarnation: str, now: float) -> bool:
        """Return whether nothing that a noticed member started still runs."""
        since = self._lapse_from.get(incarnation)
        return since is not None and now - since >= self.policy.wait_seconds

    def _note_alive(self, member: Member, now: float) -> None:
        if self._alive_at.get(member.incarnation) != member.alive_at:
            self._alive_at[member.incarnation] = member.alive_at
            self._heard_at[member.incarnation] = now

    def _notice(self, member: Member, now: float, record_id: str) -> Notice | None:
        if member.is_surely_gone:
            return None
        if member.instance in self._terminated:
            ground = NoticeGround.TERMINATED
        elif member.notice_at == ABSENT and self._is_silent(member, now):
            ground = NoticeGround.SUSPECTED
        else:
            return None
        return Notice(f"{record_id}-n", member.incarnation, member.alive_at, ground)

    def _is_silent(self, member: Member, now: float) -> bool:
        heard_at = self._heard_at.get(member.incarnation, now)
        return now - heard_at > self.policy.silence_seconds


def _count_unaware(
    state: MembershipState, notice_at: int, positions_by_instance: Mapping[str, int]
) -> int:
    return sum(
        positions_by_instance.get(member.instance, ABSENT) <= notice_at
        for member in state.members_by_incarnation.values()
        if not member.is_surely_gone
    )
