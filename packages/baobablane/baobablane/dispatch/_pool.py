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
    running: int = 0
    running_by_team: dict[str, int] = field(default_factory=lambda: defaultdict(int))
    served_by_team: dict[str, float] = field(default_factory=lambda: defaultdict(float))

    @property
    def capacity(self) -> int:
        """Return the slots of the upstreams that may get new work."""
        return sum(u.slots for u in self.upstreams if not u.leaving)

    @property
    def budget(self) -> float:
        """Return how many slots this entry instance may use."""
        return self.capacity if self.shares is None else self.shares.own_budget
