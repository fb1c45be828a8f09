"""Hold what the planner knows beside the configuration."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class FleetObservations:
    """Hold the state of upstreams and services as of now."""

    # Upstreams that the platform lists as leaving or gone, or that fail everything.
    failed: frozenset[str]
    # Whether nothing runs on an upstream that got nothing new since a revision.
    is_drained: Callable[[str, int], bool]
    # Seconds since an upstream's placement was first seen in force here.
    seconds_in_phase: Callable[[str], float]
    budget_left_by_service: Mapping[str, float] = field(default_factory=dict)
    # Slots that each pool's waiting and running work asks for.
    demand_by_pool: Mapping[str, float] = field(default_factory=dict)
