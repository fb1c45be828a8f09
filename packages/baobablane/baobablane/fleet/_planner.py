"""Plan the next steps of moves between pools and of maintenance waves."""

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass

import msgspec

from ..config import (
    ConfigState,
    ConfigView,
    Instance,
    Placement,
    PlacementPhase,
    Wave,
    WavePhase,
)
from ._observations import FleetObservations

# Failed upstreams of one rack that count as a correlated failure and pause the waves.
# Upstreams that are out of service, for example by a wave, are left out.
MIN_CORRELATED_FAILURES = 2
# Waves pause below this fraction of a service's availability budget.
MIN_BUDGET_LEFT = 0.25
# Multiple of the reboot time after which a reboot counts as failed.
REBOOT_TIMEOUT_FACTOR = 3


@dataclass(frozen=True, slots=True)
class PlannedStep:
    """Store one entry to publish, the revisions that it expects, and the reason."""

    entry: Placement | Wave
    expects: dict[str, int]
    reason: str


def plan_steps(
    state: ConfigState, view: ConfigView, observations: FleetObservations
) -> list[PlannedStep]:
    """Return the steps possible now.

    Each step expects the current revision of its entry, so that it is rejected if
    another change to the entry was published first.
    """
    steps = list(_advance_placements(state, view, observations))
    for wave in view.waves_by_name.values():
        if wave.phase is WavePhase.RUNNING:
            steps += _advance_wave(state, view, observations, wave)
    return steps


def _advance_placements(
    state: ConfigState, view: ConfigView, observations: FleetObservations
) -> Iterator[PlannedStep]:
    for placement in view.placements_by_instance.values():
        changed = _next_placement(state, view, observations, placement)
        if changed is not None:
            yield _make_step(state, changed, f"{placement.phase} -> {changed.phase}")


def _next_placement(
    state: ConfigState,
    view: ConfigView,
    observations: FleetObservations,
    placement: Placement,
) -> Placement | None:
    name = placement.instance
    revision = state.revision_of(f"placement/{name}")
    if placement.phase is PlacementPhase.DRAINING:
        if not (placement.wave or placement.next_pool):
            return None
        if not observations.is_drained(name, revision):
            return None
        if placement.wave:
            return _with_phase(placement, PlacementPhase.REBOOTING)
        return Placement(name, placement.next_pool, PlacementPhase.SERVING)
    if placement.phase is PlacementPhase.REBOOTING:
        has_reboot_time_passed = (
            observations.seconds_in_phase(name) >= view.settings.reboot_seconds
        )
        if has_reboot_time_passed and name not in observations.failed:
            return Placement(name, placement.pool, PlacementPhase.SERVING)
        timeout_seconds = view.settings.reboot_seconds * REBOOT_TIMEOUT_FACTOR
        if placement.wave and observations.seconds_in_phase(name) >= timeout_seconds:
            # It stays out of service as failed, and the wave continues without it.
            return msgspec.structs.replace(placement, wave="")
    return None


def _advance_wave(
    state: ConfigState, view: ConfigView, observations: FleetObservations, wave: Wave
) -> list[PlannedStep]:
    reason = _find_pause_reason(view, observations)
    if reason:
        paused = msgspec.structs.replace(wave, phase=WavePhase.PAUSED, reason=reason)
        return [_make_step(state, paused, reason)]
    remaining = [name for name in wave.remaining if name in view.instances_by_id]
    placements = [
        p for p in view.placements_by_instance.values() if p.wave == wave.name
    ]
    if not remaining and not placements:
        done = msgspec.structs.replace(wave, phase=WavePhase.DONE, remaining=())
        return [_make_step(state, done, "every instance was visited")]
    chosen = _choose_batch(view, observations, remaining, placements)
    steps = [
        _make_step(
            state,
            Placement(
                name, view.pool_of_instance(name), PlacementPhase.DRAINING, wave.name
            ),
            f"wave {wave.name}",
        )
        for name in chosen
    ]
    if chosen:
        not_chosen = tuple(name for name in remaining if name not in chosen)
        steps.append(
            _make_step(
                state, msgspec.structs.replace(wave, remaining=not_chosen), "next"
            )
        )
    return steps


def _find_pause_reason(view: ConfigView, observations: FleetObservations) -> str:
    racks = Counter(
        view.instances_by_id[name].rack
        for name in observations.failed
        if name in view.instances_by_id and view.is_serving(name)
    )
    for rack, failures in racks.items():
        if failures >= MIN_CORRELATED_FAILURES:
            return f"{failures} upstreams of rack {rack} fail"
    for service, budget_left in observations.budget_left_by_service.items():
        if budget_left < MIN_BUDGET_LEFT:
            return f"service {service} has {budget_left:.2f} of its budget left"
    return ""


def _choose_batch(
    view: ConfigView,
    observations: FleetObservations,
    remaining: list[str],
    placements: list[Placement],
) -> list[str]:
    # Only one rack is drained at a time, so that a failure of another one leaves at
    # most two racks incomplete.
    racks = {view.instances_by_id[placement.instance].rack for placement in placements}
    candidates = [
        view.instances_by_id[name] for name in remaining if view.is_serving(name)
    ]
    if not candidates:
        return []
    rack = next(iter(racks)) if racks else min(i.rack for i in candidates)
    spare = _spare_by_pool(view, observations)
    chosen: list[str] = []
    for instance in sorted(candidates, key=lambda i: i.id):
        pool = view.pool_of_instance(instance.id)
        if instance.rack == rack and spare.get(pool, 0) > 0:
            spare[pool] -= 1
            chosen.append(instance.id)
    return chosen


def _spare_by_pool(view: ConfigView, observations: FleetObservations) -> dict[str, int]:
    floors: dict[str, int] = {}
    for service in view.services_by_name.values():
        floor = max(floors.get(service.pool, 0), service.ready_floor)
        floors[service.pool] = floor
    return {
        pool: _count_spare(members, floors.get(pool, 0), observations, pool)
        for pool, members in view.serving_by_pool.items()
    }


def _count_spare(
    members: tuple[Instance, ...],
    floor: int,
    observations: FleetObservations,
    pool: str,
) -> int:
    ready = [instance for instance in members if instance.id not in observations.failed]
    if not ready:
        return 0
    slots = sum(instance.slots for instance in ready)
    unused = slots - observations.demand_by_pool.get(pool, 0.0)
    max_slots = max(instance.slots for instance in ready)
    return max(0, min(len(ready) - floor, int(unused // max_slots)))


def _with_phase(placement: Placement, phase: PlacementPhase) -> Placement:
    return msgspec.structs.replace(placement, phase=phase)


def _make_step(state: ConfigState, entry: Placement | Wave, reason: str) -> PlannedStep:
    if isinstance(entry, Placement):
        key = f"placement/{entry.instance}"
    else:
        key = f"wave/{entry.name}"
    expects = {key: state.revision_of(key)}
    return PlannedStep(entry, expects, reason)
