"""Define the commands for maintenance waves."""

from baobablane.config import (
    ConfigState,
    ConfigView,
    PlacementPhase,
    Wave,
    WavePhase,
    build_view,
)
from baobablane.errors import NotFoundError

from ._console import print_json, print_table
from ._fleet_client import FleetClient, run_with_fleet
from ._publish import publish_entries


class WaveCommands:
    """Start, pause and show maintenance waves."""

    def start(self, name: str, pool: str = "", log: str = "") -> None:
        """Start a wave over all instances or those of POOL, or resume a paused wave."""

        async def action(fleet: FleetClient) -> int:
            view = build_view(await fleet.read_config())
            existing = view.waves_by_name.get(str(name))
            if existing is not None and existing.phase is WavePhase.PAUSED:
                remaining = existing.remaining
            else:
                remaining = tuple(
                    instance
                    for instance in sorted(view.instances_by_id)
                    if pool in ("", view.pool_of_instance(instance))
                )
            wave = Wave(str(name), WavePhase.RUNNING, remaining)
            return await publish_entries(fleet, [wave])

        print(f"wave {name} runs from revision {run_with_fleet(action, log)}")

    def pause(self, name: str, log: str = "") -> None:
        """Pause the wave NAME; it takes no further instance out of service."""

        async def action(fleet: FleetClient) -> int:
            wave = _find_wave(await fleet.read_config(), str(name))
            paused = Wave(wave.name, WavePhase.PAUSED, wave.remaining, "by operator")
            return await publish_entries(fleet, [paused])

        print(f"wave {name} is paused from revision {run_with_fleet(action, log)}")

    def status(self, json: bool = False, log: str = "") -> None:
        """Show the waves, what remains of them, and the instances out of service."""

        async def action(fleet: FleetClient) -> ConfigView:
            return build_view(await fleet.read_config())

        view = run_with_fleet(action, log)
        wave_rows = [
            (wave.name, wave.phase.value, len(wave.remaining), wave.reason)
            for wave in view.waves_by_name.values()
        ]
        placement_rows = [
            (placement.instance, placement.pool, placement.phase.value, placement.wave)
            for placement in view.placements_by_instance.values()
            if placement.phase is not PlacementPhase.SERVING
        ]
        if json:
            print_json({"waves": wave_rows, "out": placement_rows})
            return
        print_table(("wave", "phase", "left", "reason"), wave_rows)
        print()
        print_table(("instance", "pool", "phase", "wave"), placement_rows)


def _find_wave(state: ConfigState, name: str) -> Wave:
    wave = build_view(state).waves_by_name.get(name)
    if wave is None:
        raise NotFoundError(f"no wave {name}")
    return wave
