"""Measure a whole maintenance wave of each example, and planning at the target size."""

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

from .decisions import TARGET, time_of
from .fleet_view import first_state, make_entries

EXAMPLES = Path(__file__).parent.parent / "examples"
PLAN_SECONDS = 1.0
DRAIN_SECONDS = 20.0
SLOTS_IN_USE = 20.0
MOST_STEPS = 50_000


class WaveRun:
    """Hold a configuration under a wave, in virtual time."""

    def __init__(self, entries: list[Entry], failed: frozenset[str]) -> None:
        """Publish entries and start a wave over every instance."""
        self.state = ConfigState()
        self.failed = failed
        self.now = 0.0
        self.offset = 0
        self.entered: dict[str, float] = {}
        self.put(*entries)
        names = tuple(sorted(build_view(self.state).instances_by_id))
        self.put(Wave("w", WavePhase.RUNNING, names))
        self.out: list[int] = []
        self.least_ready = 10**9

    def put(self, *entries: Entry) -> None:
        """Publish entries."""
        expects = {entry_key(e): self.state.revision_of(entry_key(e)) for e in entries}
        change = Change(f"c{self.offset}", "bench", expects, entries)
        self.state, verdict = apply_record(self.state, self.offset, change)
        assert verdict.accepted, verdict.reason
        self.offset += 1
        for entry in entries:
            if isinstance(entry, Placement):
                self.entered[entry.instance] = self.now

    def run(self) -> None:
        """Advance until the wave is done."""
        for _ in range(MOST_STEPS):
            view = build_view(self.state)
            if view.waves_by_name["w"].phase is not WavePhase.RUNNING:
                return
            evidence = FleetObservations(
                self.failed,
                lambda name, _: self._seconds_in_phase(name) >= DRAIN_SECONDS,
                self._seconds_in_phase,
                {},
                dict.fromkeys(view.pools_by_name, SLOTS_IN_USE),
            )
            for step in plan_steps(self.state, view, evidence):
                self.put(step.entry)
            self._count()
            self.now += PLAN_SECONDS

    def _seconds_in_phase(self, name: str) -> float:
        return self.now - self.entered[name]

    def _count(self) -> None:
        view = build_view(self.state)
        placements = view.placements_by_instance.values()
        phases = [placement.phase for placement in placements]
        self.out.append(sum(phase is not PlacementPhase.SERVING for phase in phases))
        for members in view.serving_by_pool.values():
            ready = sum(instance.id not in self.failed for instance in members)
            self.least_ready = min(self.least_ready, ready)


def measure_waves() -> None:
    """Print roll-out time, moves and ready instances of waves, and planning time."""
    for name in ("fundacion", "inkwell"):
        folder = EXAMPLES / name
        entries = load_entries(folder / "rules.toml", folder / "register.csv")
        for failed in (frozenset[str](), frozenset({"w-07"})):
            run = WaveRun(entries, failed)
            run.run()
            view = build_view(run.state)
            print(f"wave of {name}, {len(failed)} failed: ", end="")
            print(
                f"{view.waves_by_name['w'].phase} after {run.now / 60:.0f} min, ",
                end="",
            )
            print(f"moves between pools 0, most out at once {max(run.out)}, ", end="")
            print(f"median out {median(run.out):.0f}, ", end="")
            print(f"least ready in a pool {run.least_ready} of 6")
    print(f"planning one step at 2,200 instances: {_planning_time() * 1e3:.1f} ms")


def _planning_time() -> float:
    entries = make_entries(
        TARGET.instances, TARGET.pools, TARGET.teams, TARGET.entry_instances
    )
    names = tuple(f"w-{number}" for number in range(TARGET.instances))
    state = first_state([*entries, Wave("w", WavePhase.RUNNING, names)])
    view = build_view(state)
    evidence = FleetObservations(frozenset(), lambda *_: False, lambda _: 0.0)

    def plan() -> None:
        plan_steps(state, view, evidence)

    return time_of(plan)
