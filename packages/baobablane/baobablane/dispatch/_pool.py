"""Hold what the dispatcher knows of one pool."""

from collections import defaultdict
from dataclasses import dataclass, field

from ..admission import ClassFloor, WaitingLine
from ..routing import RetryBudget, UpstreamState
from ..shares import FairClock, PoolShares


@dataclass(slots=True)
class PoolState:
    """Hold a pool's waiting line, fair clock, shares and upstreams."""

    name: str
    floor: ClassFloor
    retries: RetryBudget
    line: WaitingLine = field(default_factory=WaitingLine)
    clock: FairClock = field(default_factory=FairClock)
    shares: PoolShares | None = None
    upstreams: tuple[UpstreamState, ...] = ()
    local: tuple[UpstreamState, ...] = ()
    member_ids: tuple[str, ...] = ()
    # Slots of the upstreams that may get new work.
    capacity: int = 0
    running: int = 0
    # Running work that is neither urgent nor short.
    running_long: int = 0
    has_urgent_queues: bool = False
    running_by_team: dict[str, int] = field(default_factory=lambda: defaultdict(int))
    served_by_team: dict[str, float] = field(default_factory=lambda: defaultdict(float))

    def set_upstreams(self, upstreams: tuple[UpstreamState, ...], zone: str) -> None:
        """Take the upstreams that the pool consists of, seen from a zone."""
        self.upstreams = upstreams
        self.local = tuple(u for u in upstreams if u.zone == zone)
        self.member_ids = tuple(u.id for u in upstreams)
        self.count_capacity()

    def count_capacity(self) -> None:
        """Count the slots of the upstreams that may get new work."""
        self.capacity = sum(u.slots for u in self.upstreams if not u.leaving)

    @property
    def budget(self) -> float:
        """Return how many slots this entry instance may use."""
        return self.capacity if self.shares is None else self.shares.own_budget
