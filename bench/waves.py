"""Simulate a maintenance wave of each example, and time planning at the target size."""

from pathlib import Path
from statistics import median

from baobablane.config import (
    Change,
    ConfigState,
    Entry,
    Placement,
    PlacementPhase,
    Wave,
    WavePhase,
    apply_record,
    build_view,
    entry_key,
)
from baobablane.fleet import FleetObservations, plan_steps
from baobablane.rules import load_entries

from .decisions import TARGET_SIZE, median_seconds
from .synthetic_config import build_state, make_config_entries

EXAMPLES = Path(__file__).parent.parent / "examples"
PLAN_INTERVAL_SECONDS = 1.0
DRAIN_SECONDS = 20.0
SLOTS_IN_USE_PER_POOL = 20.0
MAX_STEPS = 50_000


class WaveSimulation:
    """Simulate a maintenance wave over a configuration, in virtual time."""

    def __init__(self, entries: list[Entry], failed: frozenset[str]) -> None:
        """Publish entries and start a wave over all instances, some of them failed."""
        self.state = ConfigState()
        self.failed = failed
        self.now = 0.0
        self.offset = 0
        self.phase_started_at: dict[str, float] = {}
        self.publish(*entries)
        instance_ids = tuple(sorted(build_view(self.state).instances_by_id))
        self.publish(Wave("w", WavePhase.RUNNING, instance_ids))
        self.out_counts: list[int] = []
        self.min_ready = 10**9

    def publish(self, *entries: Entry) -> None:
        """Apply a change that puts entries, and record when placements change."""
        expects = {entry_key(e): self.state.revision_of(entry_key(e)) for e in entries}
        change = Change(f"c{self.offset}", "bench", expects, entries)
        self.state, result = apply_record(self.state, self.offset, change)
        assert result.accepted, result.reason
        self.offset += 1
        for entry in entries:
            if isinstance(entry, Placement):
                self.phase_started_at[entry.instance] = self.now

    def run(self) -> None:
        """Advance the time until the wave ends or pauses, up to MAX_STEPS steps."""
        for _ in range(MAX_STEPS):
            view = build_view(self.state)
            if view.waves_by_name["w"].phase is not WavePhase.RUNNING:
                return
            observations = FleetObservations(
                self.failed,
                lambda name, _: self._seconds_in_phase(name) >= DRAIN_SECONDS,
                self._seconds_in_phase,
                {},
                dict.fromkeys(view.pools_by_name, SLOTS_IN_USE_PER_POOL),
            )
            for step in plan_steps(self.state, view, observations):
                self.publish(step.entry)
            self._record_counts()
            self.now += PLAN_INTERVAL_SECONDS

    def _seconds_in_phase(self, name: str) -> float:
        return self.now - self.phase_started_at[name]

    def _record_counts(self) -> None:
        view = build_view(self.state)
        placements = view.placements_by_instance.values()
        phases = [placement.phase for placement in placements]
        self.out_counts.append(
            sum(phase is not PlacementPhase.SERVING for phase in phases)
        )
        for members in view.serving_by_pool.values():
            ready = sum(instance.id not in self.failed for instance in members)
            self.min_ready = min(self.min_ready, ready)


def measure_waves() -> None:
    """Print the duration and ready instances of each wave, and the planning time."""
    for name in ("fundacion", "inkwell"):
        folder = EXAMPLES / name
        entries = load_entries(folder / "rules.toml", folder / "register.csv")
        for failed in (frozenset[str](), frozenset({"w-07"})):
            simulation = WaveSimulation(entries, failed)
            simulation.run()
            view = build_view(simulation.state)
            print(f"wave of {name}, {len(failed)} failed: ", end="")
            print(
                f"{view.waves_by_name['w'].phase} "
                f"after {simulation.now / 60:.0f} min, ",
                end="",
            )
            print(
                "moves between pools 0, "
                f"most out at the same time {max(simulation.out_counts)}, ",
                end="",
            )
            print(f"median out {median(simulation.out_counts):.0f}, ", end="")
            print(f"minimum ready in a pool {simulation.min_ready} of 6")
    print(f"planning one step at 2,200 instances: {_planning_seconds() * 1e3:.1f} ms")


def _planning_seconds() -> float:
    entries = make_config_entries(
        TARGET_SIZE.instances,
        TARGET_SIZE.pools,
        TARGET_SIZE.teams,
        TARGET_SIZE.entry_instances,
    )
    instance_ids = tuple(f"w-{number}" for number in range(TARGET_SIZE.instances))
    state = build_state([*entries, Wave("w", WavePhase.RUNNING, instance_ids)])
    view = build_view(state)
    observations = FleetObservations(frozenset(), lambda *_: False, lambda _: 0.0)

    def plan() -> None:
        plan_steps(state, view, observations)

    return median_seconds(plan)
