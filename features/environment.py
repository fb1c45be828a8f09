"""Run each scenario against its own fleet."""

from pathlib import Path

from baobablane_standin.free_ports import find_fleet_ports
from baobablane_standin.local_fleet import LocalFleet

EXAMPLE = Path(__file__).parent.parent / "examples" / "fundacion"


def before_scenario(context, scenario):
    """Start a fleet, with the log retention that the scenario's tag sets."""
    retention = 86_400.0
    for tag in scenario.tags:
        if tag.startswith("retention="):
            retention = float(tag.partition("=")[2])
    context.example = EXAMPLE
    context.fleet = LocalFleet(
        ports=find_fleet_ports(), retention_seconds=retention, executor_count=30
    )
    context.fleet.start()


def after_scenario(context, scenario):
    """Stop the fleet."""
    context.fleet.stop()
