"""Hold what the dispatcher knows of one pool."""

import math
from collections import defaultdict
from dataclasses import dataclass, field

from ..admission import ClassFloor, WaitingLine
from ..routing import RetryBudget, UpstreamState
from ..shares import DemandLine, FairClock, PoolShares
from ._reason import Reason

# A team without a slot of its own still gets one now and then.
MIN_TEAM_SLOTS = 0.5


@dataclass(slots=True)
class PoolState:
    """Hold a pool's waiting line, fair clock, shares and upstreams."""

    name: str
    class_floor: ClassFloor
    retry_budget: RetryBudget
    backlog: WaitingLine = field(default_factory=WaitingLine)
    fair_clock: FairClock = field(default_factory=FairClock)
    shares: PoolShares | None = None
    upstreams: tuple[UpstreamState, ...] = ()
    local_upstreams: tuple[UpstreamState, ...] = ()
    upstream_ids: tuple[str, ...] = ()
    # Slots of the upstreams that may get new work.
    capacity: int = 0
    running: int = 0
    # Running work that is neither urgent nor short.
    running_long: int = 0
    has_urgent_queues: bool = False
    running_by_team: dict[str, int] = field(default_factory=lambda: defaultdict(int))
    served_seconds_by_team: dict[str, float] = field(
        default_factory=lambda: defaultdict(float)
    )

    def set_upstreams(self, upstreams: tuple[UpstreamState, ...], zone: str) -> None:
        """Take the upstreams that the pool consists of, seen from a zone."""
        self.upstreams = upstreams
        self.local_upstreams = tuple(u for u in upstreams if u.zone == zone)
        self.upstream_ids = tuple(u.id for u in upstreams)
        self.update_capacity()

    def update_capacity(self) -> None:
        """Count the slots of the upstreams that may get new work."""
        self.capacity = sum(u.slots for u in self.upstreams if not u.is_leaving)

    @property
    def budget(self) -> float:
        """Return how many slots this entry instance may use."""
        return self.capacity if self.shares is None else self.shares.own_budget

    def team_slots(self, team: str, units: float) -> float:
        """Return the slots that a team may count on here, at least a half."""
        slots = self.budget
        if self.shares is not None:
            slots = self.shares.own_by_team.get(team, slots)
        return max(min(slots, units), MIN_TEAM_SLOTS)

    def blocked_reason(self, available_units: float) -> Reason | None:
        """Return what keeps a team's next request from starting, None if nothing."""
        if self.running >= math.ceil(self.budget):
            return Reason.POOL_BUDGET
        return Reason.TEAM_LIMIT if available_units < 1 else None

    def next_team(self, teams: list[str]) -> str | None:
        """Return the team whose request starts next, None where there is none."""
        slots = self.shares.own_slots if self.shares else {}
        # Whole slots are kept for their teams; the clock shares out the rest.
        teams_below_slots = [
            t for t in teams if self.running_by_team[t] < slots.get(t, 0)
        ]
        return self.fair_clock.next_team(teams_below_slots or teams)

    def weight(self, team: str, share: float) -> float:
        """Return the weight of a team's service on the clock."""
        # What the team may have here of its share, by all entry instances' demand.
        local_share = self.shares.own_by_team.get(team, 0.0) if self.shares else 0.0
        return local_share if local_share > 0 else share

    def demand(self) -> list[DemandLine]:
        """Return the work of every team."""
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
