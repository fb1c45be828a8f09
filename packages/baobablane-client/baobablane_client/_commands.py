"""Define the commands of `baobab`."""

from pathlib import Path

from baobablane.config import (
    ConfigState,
    Entry,
    Placement,
    PlacementPhase,
    Plan,
    build_view,
    plan_change,
)
from baobablane.errors import NotFoundError
from baobablane.rules import load_entries

from ._console import print_json, print_progress, print_table
from ._fleet_client import FleetClient, new_change_id, run_with_fleet
from ._key_commands import KeyCommands
from ._publish import current_author, publish_entries
from ._status_table import print_status
from ._wave_commands import WaveCommands

DEFAULT_WAIT_SECONDS = 30.0


class Commands:
    """Manage the configuration (set BAOBAB_LOG and BAOBAB_TOKEN first)."""

    def __init__(self) -> None:
        """Add the groups of commands for keys and maintenance waves."""
        self.key = KeyCommands()
        self.wave = WaveCommands()

    def check(self, rules: str, register: str) -> None:
        """Validate the files RULES and REGISTER and report every error."""
        entries = load_entries(Path(str(rules)), Path(str(register)))
        print(f"valid: {len(entries)} entries")

    def plan(
        self, rules: str, register: str, json: bool = False, log: str = ""
    ) -> None:
        """Show what applying RULES and REGISTER would change."""
        entries = load_entries(Path(str(rules)), Path(str(register)))

        async def action(fleet: FleetClient) -> Plan:
            return _make_plan(await fleet.read_config(), entries)

        _print_plan(run_with_fleet(action, log), json)

    def apply(
        self,
        rules: str,
        register: str,
        wait: bool = False,
        seconds: float = DEFAULT_WAIT_SECONDS,
        log: str = "",
    ) -> None:
        """Publish RULES and REGISTER; with --wait, wait until they are in force."""
        entries = load_entries(Path(str(rules)), Path(str(register)))

        async def action(fleet: FleetClient) -> int:
            plan = _make_plan(await fleet.read_config(), entries)
            _print_plan(plan, as_json=False)
            revision = fleet.config_state.revision
            if not plan.is_empty:
                print_progress("publishing")
                revision = (await fleet.publish(plan.change)).offset
            if wait:
                await fleet.wait_in_force(revision, float(seconds))
            return revision

        print(f"applied at revision {run_with_fleet(action, log)}")

    def drain(self, instance: str, log: str = "") -> None:
        """Send no new work to the upstream INSTANCE; let running work finish."""
        _set_phase(str(instance), PlacementPhase.DRAINING, log)

    def undrain(self, instance: str, log: str = "") -> None:
        """Send work to the upstream INSTANCE again."""
        _set_phase(str(instance), PlacementPhase.SERVING, log)

    def status(self, json: bool = False, log: str = "") -> None:
        """Show the budget of each service, the usage of each team, and the pools."""

        async def action(fleet: FleetClient) -> list[dict[str, object]]:
            responses = await fleet.query_all()
            for response in responses:
                if response.content is None:
                    print_progress(
                        f"{response.member.instance}: no response: {response.detail}"
                    )
            return [
                _get_report(response.content)
                for response in responses
                if response.content is not None
            ]

        reports = run_with_fleet(action, log)
        if json:
            print_json(reports)
        else:
            print_status(reports)

    def explain(self, name: str, log: str = "") -> None:
        """Show the latest decisions about the request or upstream NAME."""

        async def action(fleet: FleetClient) -> list[dict[str, object]]:
            responses = await fleet.query_all(f"/v1/explain/{name}")
            found: list[dict[str, object]] = []
            for response in responses:
                latest = response.content["answer"] if response.content else []
                if isinstance(latest, list):
                    found += [
                        {"entry": response.member.instance, **decision}
                        for decision in latest
                    ]
            return found

        decisions = run_with_fleet(action, log)
        if not decisions:
            raise NotFoundError(f"no entry instance has a decision about {name}")
        print_json(decisions)


def _get_report(content: dict[str, object]) -> dict[str, object]:
    report = content["answer"]
    assert isinstance(report, dict)
    return report


def _make_plan(state: ConfigState, entries: list[Entry]) -> Plan:
    return plan_change(state, entries, new_change_id(), current_author())


def _print_plan(plan: Plan, as_json: bool) -> None:
    if as_json:
        lines = [
            {"action": line.action, "key": line.key, "detail": line.detail}
            for line in plan.lines
        ]
        print_json(lines)
    elif plan.is_empty:
        print("nothing to change")
    else:
        rows = [(line.action.value, line.key, line.detail) for line in plan.lines]
        print_table(("action", "entry", "detail"), rows)


def _set_phase(instance: str, phase: PlacementPhase, log: str) -> None:
    async def action(fleet: FleetClient) -> int:
        view = build_view(await fleet.read_config())
        if instance not in view.instances_by_id:
            raise NotFoundError(f"no instance {instance}")
        placement = Placement(instance, view.pool_of_instance(instance), phase)
        return await publish_entries(fleet, [placement])

    print(f"{instance} is {phase} from revision {run_with_fleet(action, log)}")
