"""Measure what decisions cost, and how the cost grows with the size of the fleet."""

import time
from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from statistics import median

from baobablane.config import Team, build_view
from baobablane.dispatch import (
    AttemptResult,
    Dispatcher,
    DispatchPolicy,
    Start,
    WorkRequest,
)
from baobablane.limits import Escrow
from baobablane.membership import SLOT_COUNT
from baobablane.shares import DemandLine, DemandTable, compute_pool_shares

from .synthetic_config import apply_entries, build_state, make_config_entries

ROUTING_TARGET_SECONDS = 100e-6
SHARES_TARGET_SECONDS = 10e-3
FOLD_TARGET_SECONDS = 5e-3
ROUNDS = 9


@dataclass(frozen=True, slots=True)
class FleetSize:
    """Store the size of a fleet."""

    instances: int
    pools: int
    teams: int
    entry_instances: int


CURRENT_SIZE = FleetSize(30, 5, 6, 9)
HALF_TARGET_SIZE = FleetSize(1100, 17, 75, 22)
TARGET_SIZE = FleetSize(2200, 34, 150, 45)


def measure_decisions() -> None:
    """Print the cost of each decision at several fleet sizes, against its target."""
    for name, measure, target in (
        ("routing one request", measure_routing, ROUTING_TARGET_SECONDS),
        ("recomputing all shares", measure_shares, SHARES_TARGET_SECONDS),
        ("folding one change", measure_fold, FOLD_TARGET_SECONDS),
    ):
        costs = [
            measure(size) for size in (CURRENT_SIZE, HALF_TARGET_SIZE, TARGET_SIZE)
        ]
        slope = (costs[2] - costs[1]) / (
            TARGET_SIZE.instances - HALF_TARGET_SIZE.instances
        )
        verdict = "met" if costs[2] <= target else "MISSED"
        sizes = ", ".join(f"{cost * 1e6:.0f}" for cost in costs)
        print(f"{name}: {sizes} us at 30, 1100 and 2200 instances", end="")
        print(f", {slope * 1e9:.0f} ns per instance", end="")
        print(f" (target {target * 1e6:.0f} us: {verdict})")


def measure_routing(size: FleetSize) -> float:
    """Return the median seconds to submit and finish one request."""
    dispatcher = make_dispatcher(size)
    view = dispatcher.view
    queues = list(view.queues_by_name.values())
    teams = list(view.teams_by_name)
    numbers = iter(range(10**9))

    def route() -> None:
        for _ in range(200):
            number = next(numbers)
            queue = queues[number % len(queues)]
            request = WorkRequest(
                f"r{number}",
                teams[number % len(teams)],
                queue,
                view.pool_of_queue(queue),
                float(number),
                number + 10.0,
            )
            step = dispatcher.submit(request, float(number))
            assert isinstance(step, Start)
            dispatcher.handle_result(step.attempt, AttemptResult.DONE, number + 0.5)

    return median_seconds(route) / 200


def make_dispatcher(size: FleetSize) -> Dispatcher:
    """Return a dispatcher that owns every escrow slot, with a fleet's configuration."""
    entries = make_config_entries(
        size.instances, size.pools, size.teams, size.entry_instances
    )
    view = build_view(build_state(entries))
    escrow = Escrow("me")
    escrow.set_limits({n: t.limit for n, t in view.teams_by_name.items()}, 0)
    escrow.set_slots(range(SLOT_COUNT))
    dispatcher = Dispatcher("zone-1", escrow, Random(1), DispatchPolicy())
    dispatcher.apply_config(view)
    return dispatcher


def measure_shares(size: FleetSize) -> float:
    """Return the median seconds to recompute every pool's shares once."""
    random = Random(2)
    pools = [f"pool-{number}" for number in range(size.pools)]
    team_names = [f"team-{number}" for number in range(size.teams)]
    # Each team has demand in two pools through each entry instance.
    table = DemandTable("entry-20")
    own_demand: dict[str, dict[str, int]] = {pool: {} for pool in pools}
    lines: list[DemandLine] = []
    for sender in range(size.entry_instances):
        lines = [
            DemandLine(pool, team, random.randrange(20), 2, 0.0)
            for team in team_names
            for pool in random.sample(pools, 2)
        ]
        table.report(f"entry-{sender}", lines, 0.0)
    for line in lines:
        own_demand[line.pool][line.team] = line.waiting + line.running
    weights = dict.fromkeys(team_names, 1.0)
    limits = dict.fromkeys(team_names, 400)

    def recompute() -> None:
        table.report("entry-0", lines, 0.0)
        for pool in pools:
            others = table.by_team(pool)
            preceding = table.preceding_by_team(pool)
            compute_pool_shares(
                500.0, own_demand[pool], others, preceding, weights, limits, 45
            )

    return median_seconds(recompute)


def measure_fold(size: FleetSize) -> float:
    """Return the median seconds to fold one change and index the new configuration."""
    entries = make_config_entries(
        size.instances, size.pools, size.teams, size.entry_instances
    )
    state = build_state(entries)
    offsets = iter(range(1, 10**9))

    def fold() -> None:
        changed = apply_entries([Team("team-1", 2.0, 300)], state, next(offsets))
        build_view(changed)

    return median_seconds(fold)


def median_seconds(action: Callable[[], None]) -> float:
    """Return the median seconds of an action over several rounds after a warm-up."""
    action()
    durations: list[float] = []
    for _ in range(ROUNDS):
        started_at = time.perf_counter()
        action()
        durations.append(time.perf_counter() - started_at)
    return median(durations)
