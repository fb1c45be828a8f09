"""Hold the upstreams that take tasks in one planning round."""

from dataclasses import dataclass, field

from ._full_pools import FullPools
from ._lost_upstream import unstable_pools
from ._state import SchedulerState
from ._upstream import Upstream


@dataclass(slots=True)
class RoundRoom:
    """Hold the upstreams of each pool that take tasks in this round."""

    usable: dict[str, list[Upstream]] = field(default_factory=dict)
    # Without those that are ejected.
    healthy: dict[str, list[Upstream]] = field(default_factory=dict)
    # Kept free of other starts for trials.
    reserved: dict[str, list[Upstream]] = field(default_factory=dict)
    full: FullPools = field(default_factory=FullPools)
    # Pools in which an upstream is reserved for a long-running task.
    lasting_pools: set[str] = field(default_factory=set)
    # Pools in which tasks found no room in this round.
    full_pools: set[str] = field(default_factory=set)
    # Unsettled runs on each upstream of the unstable pools.
    young_runs: dict[str, int] = field(default_factory=dict)

    def for_trials(self, pool: str) -> list[Upstream]:
        """Return the upstreams that are left for trials."""
        others = self.healthy.get(pool) or self.usable.get(pool, [])
        return [*self.reserved.get(pool, []), *others]

    def take(self, pool: str, upstream: Upstream) -> None:
        """Remove an upstream, so that nothing else is placed there in this round."""
        for upstreams_by_pool in (self.usable, self.healthy, self.reserved):
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
        upstream.is_limited = False
        if not upstream.accepts(now) or state.is_evacuated(upstream):
            continue
        pool = upstream.entry.pool
        if was_reserved:
            room.reserved.setdefault(pool, []).append(upstream)
            continue
        room.usable.setdefault(pool, []).append(upstream)
        if pool in unstable:
            room.young_runs[upstream.id] = upstream.unsettled_count()
        if not state.ejections.is_ejected(upstream.id, now):
            room.healthy.setdefault(pool, []).append(upstream)
    return room
