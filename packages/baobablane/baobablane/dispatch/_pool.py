"""Track the queued and running requests of one pool."""

import math
from collections import defaultdict
from dataclasses import dataclass, field

from ..admission import Backlog, ClassFloor
from ..routing import RetryBudget, UpstreamState
from ..shares import DemandLine, FairClock, PoolShares
from ._reason import Reason

# A team whose share is less than one slot still gets a slot from time to time.
MIN_TEAM_SLOTS = 0.5


@dataclass(slots=True)
class PoolState:
    """Store a pool's backlog, fair clock, shares and upstreams."""

    name: str
    class_floor: ClassFloor
    retry_budget: RetryBudget
    backlog: Backlog = field(default_factory=Backlog)
    fair_clock: FairClock = field(default_factory=FairClock)
    shares: PoolShares | None = None
    upstreams: tuple[UpstreamState, ...] = ()
    local_upstreams: tuple[UpstreamState, ...] = ()
    upstream_ids: tuple[str, ...] = ()
    # Total slots of the upstreams that accept new requests.
    capacity: int = 0
    running: int = 0
    # Running requests that are neither urgent nor short.
    running_long: int = 0
    has_urgent_queues: bool = False
    running_by_team: dict[str, int] = field(default_factory=lambda: defaultdict(int))
    served_seconds_by_team: dict[str, float] = field(
        default_factory=lambda: defaultdict(float)
    )

    def set_upstreams(self, upstreams: tuple[UpstreamState, ...], zone: str) -> None:
        """Replace the pool's upstreams and find those that are local to a zone."""
        self.upstreams = upstreams
        self.local_upstreams = tuple(u for u in upstreams if u.zone == zone)
        self.upstream_ids = tuple(u.id for u in upstreams)
        self.update_capacity()

    def update_capacity(self) -> None:
        """Recount the slots of the upstreams that accept new requests."""
        self.capacity = sum(u.slots for u in self.upstreams if not u.is_leaving)

    @property
    def budget(self) -> float:
        """Return the number of slots that this entry instance may use."""
        return self.capacity if self.shares is None else self.shares.own_budget

    def team_slots(self, team: str, usable_units: float) -> float:
        """Return the slots that a team can expect here, at least one half.

        `usable_units` is the number of requests that the team's limit allows here.
        """
        slots = self.budget
        if self.shares is not None:
            slots = self.shares.own_by_team.get(team, slots)
        return max(min(slots, usable_units), MIN_TEAM_SLOTS)

    def blocked_reason(self, available_units: float) -> Reason | None:
        """Return why a team's next request can't start, or None if it can."""
        if self.running >= math.ceil(self.budget):
            return Reason.POOL_BUDGET
        return Reason.TEAM_LIMIT if available_units < 1 else None

    def next_team(self, teams: list[str]) -> str | None:
        """Return the team whose request starts next, or None without teams."""
        slots = self.shares.own_slots if self.shares else {}
        # Teams that run fewer requests than they have whole slots go first; the fair
        # clock chooses among them.
        teams_below_slots = [
            t for t in teams if self.running_by_team[t] < slots.get(t, 0)
        ]
        return self.fair_clock.next_team(teams_below_slots or teams)

    def weight(self, team: str, share: float) -> float:
        """Return a team's weight on the fair clock."""
        # What the team may use at this entry instance, computed from the demand at all
        # of them.
        local_share = self.shares.own_by_team.get(team, 0.0) if self.shares else 0.0
        return local_share if local_share > 0 else share

    def demand(self) -> list[DemandLine]:
        """Return the waiting and running work of every team."""
        waiting = self.backlog.counts_by_team()
        running = {team for team, count in self.running_by_team.items() if count}
        return [
            DemandLine(
                self.name,
                team,
                waiting.get(team, 0),
                self.running_by_team[team],
                self.served_seconds_by_team[team],
            )
            for team in sorted(waiting.keys() | running)
        ]
