"""Plan the next steps of moves and maintenance waves."""

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
from ._evidence import FleetEvidence

# Failures outside the wave, in one rack, that are taken to be correlated.
CORRELATED_FAILURES = 2
LEAST_BUDGET_LEFT = 0.25
# Lengths of a reboot after which an instance is taken not to come back.
REBOOTS_WAITED_FOR = 3


@dataclass(frozen=True, slots=True)
class PlannedStep:
    """Hold one entry to put, the revisions it builds on, and why."""

    entry: Placement | Wave
    expects: dict[str, int]
    reason: str


def plan_steps(
    state: ConfigState, view: ConfigView, evidence: FleetEvidence
) -> list[PlannedStep]:
    """Return the steps that may be taken now; each may still lose a race."""
    steps = list(_advance_placements(state, view, evidence))
    for wave in view.waves_by_name.values():
        if wave.phase is WavePhase.RUNNING:
            steps += _advance_wave(state, view, evidence, wave)
    return steps


def _advance_placements(
    state: ConfigState, view: ConfigView, evidence: FleetEvidence
) -> Iterator[PlannedStep]:
    for placement in view.placements_by_instance.values():
        changed = _next_placement(state, view, evidence, placement)
        if changed is not None:
            yield _step(state, changed, f"{placement.phase} -> {changed.phase}")


def _next_placement(
    state: ConfigState,
    view: ConfigView,
    evidence: FleetEvidence,
    placement: Placement,
) -> Placement | None:
    name = placement.instance
    revision = state.revision_of(f"placement/{name}")
    if placement.phase is PlacementPhase.DRAINING:
        if not (placement.wave or placement.next_pool):
            return None
        if not evidence.is_drained(name, revision):
            return None
        if placement.wave:
            return _with_phase(placement, PlacementPhase.REBOOTING)
        return Placement(name, placement.next_pool, PlacementPhase.SERVING)
    if placement.phase is PlacementPhase.REBOOTING:
        is_back = evidence.seconds_in_phase(name) >= view.settings.reboot_seconds
        if is_back and name not in evidence.failed:
            return Placement(name, placement.pool, PlacementPhase.SERVING)
        patience = view.settings.reboot_seconds * REBOOTS_WAITED_FOR
        if placement.wave and evidence.seconds_in_phase(name) >= patience:
            # It stays out, as a failure, and the wave goes on without it.
            return msgspec.structs.replace(placement, wave="")
    return None


def _advance_wave(
    state: ConfigState, view: ConfigView, evidence: FleetEvidence, wave: Wave
) -> list[PlannedStep]:
    reason = _find_pause_reason(view, evidence)
    if reason:
        paused = msgspec.structs.replace(wave, phase=WavePhase.PAUSED, reason=reason)
        return [_step(state, paused, reason)]
    left = [name for name in wave.remaining if name in view.instances_by_id]
    out = [p for p in view.placements_by_instance.values() if p.wave == wave.name]
    if not left and not out:
        done = msgspec.structs.replace(wave, phase=WavePhase.DONE, remaining=())
        return [_step(state, done, "every instance was visited")]
    chosen = _choose_batch(view, evidence, left, out)
    steps = [
        _step(
            state,
            Placement(
                name, view.pool_of_instance(name), PlacementPhase.DRAINING, wave.name
            ),
            f"wave {wave.name}",
        )
        for name in chosen
    ]
    if chosen:
        rest = tuple(name for name in left if name not in chosen)
        steps.append(
            _step(state, msgspec.structs.replace(wave, remaining=rest), "next")
        )
    return steps


def _find_pause_reason(view: ConfigView, evidence: FleetEvidence) -> str:
    racks = Counter(
        view.instances_by_id[name].rack
        for name in evidence.failed
        if name in view.instances_by_id and view.is_serving(name)
    )
    for rack, failures in racks.items():
        if failures >= CORRELATED_FAILURES:
            return f"{failures} upstreams of rack {rack} fail"
    for service, left in evidence.budget_left_by_service.items():
        if left < LEAST_BUDGET_LEFT:
            return f"service {service} has {left:.2f} of its budget left"
    return ""


def _choose_batch(
    view: ConfigView,
    evidence: FleetEvidence,
    left: list[str],
    out: list[Placement],
) -> list[str]:
    # One rack at a time: the failure of another rack meets whole pools.
    racks = {view.instances_by_id[placement.instance].rack for placement in out}
    candidates = [view.instances_by_id[name] for name in left if view.is_serving(name)]
    if not candidates:
        return []
    rack = next(iter(racks)) if racks else min(i.rack for i in candidates)
    spare = _spare_by_pool(view, evidence)
    chosen: list[str] = []
    for instance in sorted(candidates, key=lambda i: i.id):
        pool = view.pool_of_instance(instance.id)
        if instance.rack == rack and spare.get(pool, 0) > 0:
            spare[pool] -= 1
            chosen.append(instance.id)
    return chosen


def _spare_by_pool(view: ConfigView, evidence: FleetEvidence) -> dict[str, int]:
    floors: dict[str, int] = {}
    for service in view.services_by_name.values():
        floor = max(floors.get(service.pool, 0), service.ready_floor)
        floors[service.pool] = floor
    return {
        pool: _spare_of(members, floors.get(pool, 0), evidence, pool)
        for pool, members in view.serving_by_pool.items()
    }


def _spare_of(
    members: tuple[Instance, ...], floor: int, evidence: FleetEvidence, pool: str
) -> int:
    ready = [instance for instance in members if instance.id not in evidence.failed]
    if not ready:
        return 0
    slots = sum(instance.slots for instance in ready)
    unused = slots - evidence.demand_by_pool.get(pool, 0.0)
    largest = max(instance.slots for instance in ready)
    return max(0, min(len(ready) - floor, int(unused // largest)))


def _with_phase(placement: Placement, phase: PlacementPhase) -> Placement:
    return msgspec.structs.replace(placement, phase=phase)


def _step(state: ConfigState, entry: Placement | Wave, reason: str) -> PlannedStep:
    if isinstance(entry, Placement):
        key = f"placement/{entry.instance}"
    else:
        key = f"wave/{entry.name}"
    expects = {key: state.revision_of(key)}
    return PlannedStep(entry, expects, reason)
