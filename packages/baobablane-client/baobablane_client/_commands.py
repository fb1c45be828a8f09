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

from ._console import print_json, print_table, progress
from ._fleet import Fleet, new_change_id, with_fleet
from ._key_commands import KeyCommands
from ._publish import current_author, publish_entries
from ._status_table import print_status
from ._wave_commands import WaveCommands

WAIT_SECONDS = 30.0


class Commands:
    """Apply a register and rules (set BAOBAB_LOG and BAOBAB_TOKEN first)."""

    def __init__(self) -> None:
        """Group the commands on keys and waves."""
        self.key = KeyCommands()
        self.wave = WaveCommands()

    def check(self, rules: str, register: str) -> None:
        """Check the files RULES and REGISTER and print every fault."""
        entries = load_entries(Path(str(rules)), Path(str(register)))
        print(f"valid: {len(entries)} entries")

    def plan(
        self, rules: str, register: str, json: bool = False, log: str = ""
    ) -> None:
        """Show what applying RULES and REGISTER would change."""
        entries = load_entries(Path(str(rules)), Path(str(register)))

        async def act(fleet: Fleet) -> Plan:
            return _plan(await fleet.read_config(), entries)

        _print_plan(with_fleet(act, log), json)

    def apply(
        self,
        rules: str,
        register: str,
        wait: bool = False,
        seconds: float = WAIT_SECONDS,
        log: str = "",
    ) -> None:
        """Publish RULES and REGISTER; with --wait, until they are in force."""
        entries = load_entries(Path(str(rules)), Path(str(register)))

        async def act(fleet: Fleet) -> int:
            plan = _plan(await fleet.read_config(), entries)
            _print_plan(plan, as_json=False)
            revision = fleet.state.revision
            if not plan.is_empty:
                progress("publishing")
                revision = (await fleet.publish(plan.change)).offset
            if wait:
                await fleet.wait_in_force(revision, float(seconds))
            return revision

        print(f"applied at revision {with_fleet(act, log)}")

    def drain(self, instance: str, log: str = "") -> None:
        """Give no new work to the upstream INSTANCE; running work ends."""
        _set_phase(str(instance), PlacementPhase.DRAINING, log)

    def undrain(self, instance: str, log: str = "") -> None:
        """Give work to the upstream INSTANCE again."""
        _set_phase(str(instance), PlacementPhase.SERVING, log)

    def status(self, json: bool = False, log: str = "") -> None:
        """Show services against budgets, teams against limits, and pools."""

        async def act(fleet: Fleet) -> list[dict[str, object]]:
            replies = await fleet.ask_all()
            for reply in replies:
                if reply.status is None:
                    progress(f"{reply.member.instance}: no answer: {reply.detail}")
            return [_answer(r.status) for r in replies if r.status is not None]

        reports = with_fleet(act, log)
        if json:
            print_json(reports)
        else:
            print_status(reports)

    def explain(self, name: str, log: str = "") -> None:
        """Show the latest decisions on the request or upstream NAME."""

        async def act(fleet: Fleet) -> list[dict[str, object]]:
            replies = await fleet.ask_all(f"/v1/explain/{name}")
            found: list[dict[str, object]] = []
            for reply in replies:
                answers = reply.status["answer"] if reply.status else []
                if isinstance(answers, list):
                    found += [{"entry": reply.member.instance, **a} for a in answers]
            return found

        decisions = with_fleet(act, log)
        if not decisions:
            raise NotFoundError(f"no entry instance remembers a decision on {name}")
        print_json(decisions)


def _answer(status: dict[str, object]) -> dict[str, object]:
    answer = status["answer"]
    assert isinstance(answer, dict)
    return answer


def _plan(state: ConfigState, entries: list[Entry]) -> Plan:
    return plan_change(state, entries, new_change_id(), current_author())


def _print_plan(plan: Plan, as_json: bool) -> None:
    if as_json:
        lines = [
            {"action": x.action, "key": x.key, "detail": x.detail} for x in plan.lines
        ]
        print_json(lines)
    elif plan.is_empty:
        print("nothing to change")
    else:
        rows = [(line.action.value, line.key, line.detail) for line in plan.lines]
        print_table(("action", "entry", "detail"), rows)


def _set_phase(instance: str, phase: PlacementPhase, log: str) -> None:
    async def act(fleet: Fleet) -> int:
        view = build_view(await fleet.read_config())
        if instance not in view.instances_by_id:
            raise NotFoundError(f"no instance {instance}")
        placement = Placement(instance, view.pool_of_instance(instance), phase)
        return await publish_entries(fleet, [placement])

    print(f"{instance} is {phase} from revision {with_fleet(act, log)}")
