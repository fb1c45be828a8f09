"""Hold the upstreams that take tasks in one planning round."""

from dataclasses import dataclass, field

from ..jobs import Step
from ._full_pools import FullPools, waits_for_room_only
from ._kept_room import KeptRoom
from ._lost_upstream import unstable_pools
from ._open_room import OpenRoom, find_open_room
from ._state import SchedulerState
from ._upstream import Upstream

# Maximum part of a pool's upstreams that are kept free for the tasks of large jobs.
RESERVABLE_PART = 0.25


@dataclass(slots=True)
class RoundRoom:
    """Hold the upstreams of each pool that take tasks in this round."""

    usable: dict[str, list[Upstream]] = field(default_factory=dict)
    # Without those that are ejected.
    healthy: dict[str, list[Upstream]] = field(default_factory=dict)
    ejected: dict[str, list[Upstream]] = field(default_factory=dict)
    # Kept free of other starts for trials.
    reserved: dict[str, list[Upstream]] = field(default_factory=dict)
    full: FullPools = field(default_factory=FullPools)
    # The same for accounts beyond their shares, which may use fewer upstreams.
    full_beyond_shares: FullPools = field(default_factory=FullPools)
    # Pools in which an upstream is reserved for a long-running task.
    lasting_pools: set[str] = field(default_factory=set)
    # Pools in which tasks found no room in this round.
    full_pools: set[str] = field(default_factory=set)
    # Number of upstreams that may still be reserved in each pool.
    reservable: dict[str, int] = field(default_factory=dict)
    # Tasks of accounts within their shares that found no room in this round, by pool,
    # and the upstreams that are kept free for them.
    unplaced: dict[str, int] = field(default_factory=dict)
    held: dict[str, set[str]] = field(default_factory=dict)
    # Upstreams on which room is kept, and that others may use meanwhile.
    open_by_id: dict[str, OpenRoom] = field(default_factory=dict)
    # Unsettled runs on each upstream of the unstable pools.
    young_runs: dict[str, int] = field(default_factory=dict)

    def for_trials(self, pool: str) -> list[Upstream]:
        """Return the upstreams that are left for trials."""
        others = self.healthy.get(pool) or self.usable.get(pool, [])
        # One that is reserved may also take other work for as long as it can't be used.
        by_id = {u.id: u for u in [*self.reserved.get(pool, []), *others]}
        return list(by_id.values())

    def open_to(self, step: Step, upstreams: list[Upstream]) -> list[Upstream]:
        """Return the upstreams without those that keep their room from a step."""
        if not self.open_by_id:
            return upstreams
        return [
            upstream
            for upstream in upstreams
            if upstream.id not in self.open_by_id
            or self.open_by_id[upstream.id].admits(step)
        ]

    def reserve(
        self, pool: str, step: Step, count: int, permitted: list[Upstream]
    ) -> None:
        """Keep some upstreams with much room free for the tasks of a large job.

        `permitted` are those that the tasks may use.
        """
        upstreams = self.healthy.get(pool, [])
        left = self.reservable.setdefault(pool, int(RESERVABLE_PART * len(upstreams)))
        by_room = sorted(permitted, key=lambda upstream: -upstream.room().cpu_millis)
        for upstream in by_room[:left]:
            if count <= 0:
                break
            count -= upstream.entry.capacity.cpu_millis // max(1, step.needs.cpu_millis)
            self.reservable[pool] -= 1
            self.take(pool, upstream)

    def note_unplaced(self, pool: str, step: Step, count: int) -> None:
        """Count tasks that found no room, if they fit once other tasks have ended."""
        if waits_for_room_only(step) and any(
            step.needs.fits_in(upstream.entry.capacity)
            for upstream in self.healthy.get(pool, ())
        ):
            self.unplaced[pool] = self.unplaced.get(pool, 0) + count

    def may_hold_more(self, pool: str) -> bool:
        """Return whether more unplaced tasks would keep more upstreams free."""
        return self.unplaced.get(pool, 0) < len(self.healthy.get(pool, ()))

    def without_held(self, pool: str, upstreams: list[Upstream]) -> list[Upstream]:
        """Return the upstreams that an account beyond its share may use.

        Otherwise, its small tasks would use up room as soon as it is freed, and the
        large tasks of others would wait for the end of its flood. One upstream is kept
        free for each task without room, those with the most room first.
        """
        unplaced = self.unplaced.get(pool, 0)
        if not unplaced:
            return upstreams
        held = self.held.get(pool)
        if held is None:
            by_room = sorted(
                self.healthy.get(pool, []),
                key=lambda upstream: upstream.room().cpu_millis,
                reverse=True,
            )
            held = self.held[pool] = {upstream.id for upstream in by_room[:unplaced]}
        return [upstream for upstream in upstreams if upstream.id not in held]

    def keep(self, upstream: Upstream, now: float) -> None:
        """Let others use an upstream only beside the room that is kept on it."""
        if upstream.kept is not None:
            open_room = find_open_room(upstream, upstream.kept, now)
            self.open_by_id[upstream.id] = open_room

    def reopen(self, upstream: Upstream, kept: KeptRoom | None, now: float) -> bool:
        """Return whether others may use a reserved upstream until its room is there."""
        if kept is None:
            return False
        open_room = find_open_room(upstream, kept, now)
        if open_room.is_closing():
            return False
        self.open_by_id[upstream.id] = open_room
        return True

    def take(self, pool: str, upstream: Upstream) -> None:
        """Remove an upstream, so that nothing else is placed there in this round."""
        for upstreams_by_pool in (
            self.usable,
            self.healthy,
            self.ejected,
            self.reserved,
        ):
            upstreams = upstreams_by_pool.get(pool, [])
            if upstream in upstreams:
                upstreams.remove(upstream)


def collect_room(state: SchedulerState, now: float) -> RoundRoom:
    """Return the upstreams that accept tasks, and end earlier reservations."""
    room = RoundRoom()
    if not state.allows_starts:
        return room
    unstable = unstable_pools(state.lost_upstreams.values(), now)
    for upstream in state.upstreams.values():
        was_reserved, upstream.is_reserved = upstream.is_reserved, False
        upstream.kept_before, upstream.kept = upstream.kept, None
        upstream.is_limited = False
        if not was_reserved:
            upstream.trial_wanted_at = None
        if not upstream.accepts(now) or state.is_evacuated(upstream):
            continue
        pool = upstream.entry.pool
        cpu_millis = upstream.entry.capacity.cpu_millis
        upstream.most_cpu_millis = max(upstream.most_cpu_millis, cpu_millis)
        upstream.is_last_choice = (
            cpu_millis < upstream.most_cpu_millis or state.speeds.is_slow(upstream.id)
        )
        if was_reserved:
            room.reserved.setdefault(pool, []).append(upstream)
            if not room.reopen(upstream, upstream.kept_before, now):
                continue
        room.usable.setdefault(pool, []).append(upstream)
        if pool in unstable:
            room.young_runs[upstream.id] = upstream.unsettled_count()
        is_ejected = state.ejections.is_ejected(upstream.id, now)
        group = room.ejected if is_ejected else room.healthy
        group.setdefault(pool, []).append(upstream)
    return room
