"""Define what the planner knows besides the configuration."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class FleetObservations:
    """Store the current state of upstreams and services."""

    # Upstreams that the platform lists as "leaving" or "gone", and ejected upstreams.
    failed: frozenset[str]
    # Whether an upstream that has been draining since a revision runs no more work.
    is_drained: Callable[[str, int], bool]
    # Seconds since this instance first applied an upstream's current placement.
    seconds_in_phase: Callable[[str], float]
    # Fraction of each service's availability budget that is left: at most 1,
    # negative if overspent.
    budget_left_by_service: Mapping[str, float] = field(default_factory=dict)
    # Slots needed for each pool's waiting and running work.
    demand_by_pool: Mapping[str, float] = field(default_factory=dict)
