"""Define the commands of `baobab`."""

import getpass
import os
from pathlib import Path
from secrets import token_hex

from baobablane.config import (
    Change,
    ConfigState,
    ConfigView,
    Entry,
    Key,
    Placement,
    PlacementPhase,
    Plan,
    Wave,
    WavePhase,
    build_view,
    key_of,
    plan_change,
)
from baobablane.errors import NotFoundError
from baobablane.keys import ClientKey, digest_secret
from baobablane.rules import load_input

from ._console import print_json, print_table, progress
from ._fleet import Fleet, new_change_id, with_fleet

KEY_ID_BYTES = 6
KEY_SECRET_BYTES = 16
SALT_BYTES = 8
WAIT_SECONDS = 30.0


class KeyCommands:
    """Give and withdraw client keys."""

    def give(self, team: str, log: str = "") -> None:
        """Publish a new key for TEAM and print it; it is shown only this once."""
        made = ClientKey(token_hex(KEY_ID_BYTES), token_hex(KEY_SECRET_BYTES))
        salt = token_hex(SALT_BYTES)
        key = Key(made.id, str(team), salt, digest_secret(salt, made.secret))

        async def act(fleet: Fleet) -> None:
            await fleet.read_config()
            await _publish_entries(fleet, [key])

        with_fleet(act, log)
        print(made.reveal())

    def withdraw(self, key: str, wait: bool = True, log: str = "") -> None:
        """Withdraw the key with the identifier KEY for good, and wait until it is."""

        async def act(fleet: Fleet) -> int:
            state = await fleet.read_config()
            held = state.entries_by_key.get(f"key/{key}")
            if held is None or not isinstance(held.entry, Key):
                raise NotFoundError(f"no key {key}")
            entry = held.entry
            gone = Key(entry.id, entry.team, entry.salt, entry.digest, withdrawn=True)
            revision = await _publish_entries(fleet, [gone])
            if wait:
                await fleet.wait_in_force(revision, WAIT_SECONDS)
            return revision

        print(f"withdrawn at revision {with_fleet(act, log)}")


class WaveCommands:
    """Start, pause and watch maintenance waves."""

    def start(self, name: str, pool: str = "", log: str = "") -> None:
        """Visit every instance, or those of POOL, or go on with a paused wave."""

        async def act(fleet: Fleet) -> int:
            view = build_view(await fleet.read_config())
            held = view.waves_by_name.get(str(name))
            if held is not None and held.phase is WavePhase.PAUSED:
                remaining = held.remaining
            else:
                remaining = tuple(
                    instance
                    for instance in sorted(view.instances_by_id)
                    if pool in ("", view.pool_of(instance))
                )
            wave = Wave(str(name), WavePhase.RUNNING, remaining)
            return await _publish_entries(fleet, [wave])

        print(f"wave {name} runs from revision {with_fleet(act, log)}")

    def pause(self, name: str, log: str = "") -> None:
        """Let the wave NAME begin with no further instance."""

        async def act(fleet: Fleet) -> int:
            wave = _find_wave(await fleet.read_config(), str(name))
            paused = Wave(wave.name, WavePhase.PAUSED, wave.remaining, "by operator")
            return await _publish_entries(fleet, [paused])

        print(f"wave {name} is paused from revision {with_fleet(act, log)}")

    def status(self, json: bool = False, log: str = "") -> None:
        """Show every wave, what it has left, and which instances are out."""

        async def act(fleet: Fleet) -> ConfigView:
            return build_view(await fleet.read_config())

        view = with_fleet(act, log)
        rows = [
            (wave.name, wave.phase.value, len(wave.remaining), wave.reason)
            for wave in view.waves_by_name.values()
        ]
        out = [
            (placement.instance, placement.pool, placement.phase.value, placement.wave)
            for placement in view.placements_by_instance.values()
            if placement.phase is not PlacementPhase.SERVING
        ]
        if json:
            print_json({"waves": rows, "out": out})
            return
        print_table(("wave", "phase", "left", "reason"), rows)
        print()
        print_table(("instance", "pool", "phase", "wave"), out)


class Commands:
    """Apply a register and rules (set BAOBAB_LOG and BAOBAB_TOKEN first)."""

    def __init__(self) -> None:
        """Group the commands on keys and waves."""
        self.key = KeyCommands()
        self.wave = WaveCommands()

    def check(self, rules: str, register: str) -> None:
        """Check the files RULES and REGISTER and print every fault."""
        entries = load_input(Path(str(rules)), Path(str(register)))
        print(f"valid: {len(entries)} entries")

    def plan(
        self, rules: str, register: str, json: bool = False, log: str = ""
    ) -> None:
        """Show what applying RULES and REGISTER would change."""
        entries = load_input(Path(str(rules)), Path(str(register)))

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
        entries = load_input(Path(str(rules)), Path(str(register)))

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
    author = os.environ.get("USER") or getpass.getuser()
    return plan_change(state, entries, new_change_id(), author)


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


def _find_wave(state: ConfigState, name: str) -> Wave:
    wave = build_view(state).waves_by_name.get(name)
    if wave is None:
        raise NotFoundError(f"no wave {name}")
    return wave


async def _publish_entries(fleet: Fleet, entries: list[Entry]) -> int:
    state = fleet.state
    expects = {key_of(entry): state.revision_of(key_of(entry)) for entry in entries}
    author = os.environ.get("USER") or getpass.getuser()
    change = Change(new_change_id(), author, expects, tuple(entries))
    return (await fleet.publish(change)).offset


def _set_phase(instance: str, phase: PlacementPhase, log: str) -> None:
    async def act(fleet: Fleet) -> int:
        view = build_view(await fleet.read_config())
        if instance not in view.instances_by_id:
            raise NotFoundError(f"no instance {instance}")
        placement = Placement(instance, view.pool_of(instance), phase)
        return await _publish_entries(fleet, [placement])

    print(f"{instance} is {phase} from revision {with_fleet(act, log)}")


def print_status(reports: list[dict[str, object]]) -> None:
    """Print the reports of all entry instances as tables."""
    print_table(
        ("entry", "zone", "ready", "revision", "view age s"),
        [
            tuple(
                str(r[name])
                for name in (
                    "instance",
                    "zone",
                    "ready",
                    "revision",
                    "view_age_seconds",
                )
            )
            for r in reports
        ],
    )
    for title, field, name, columns in (
        ("service", "services", "service", ("requests", "failures", "budget_left")),
        ("team", "teams", "team", ("running", "usable", "limit")),
        ("pool", "pools", "pool", ("capacity", "running", "waiting")),
    ):
        print()
        rows = _sum_rows(reports, field, name, columns)
        print_table((title, *columns), rows)


def _sum_rows(
    reports: list[dict[str, object]], field: str, name: str, columns: tuple[str, ...]
) -> list[tuple[str | float, ...]]:
    totals: dict[str, list[float]] = {}
    for report in reports:
        items = report[field]
        assert isinstance(items, list)
        for item in items:
            values = totals.setdefault(item[name], [0.0] * len(columns))
            for index, column in enumerate(columns):
                values[index] = _combine(column, values[index], float(item[column]))
    return [(key, *(f"{v:g}" for v in values)) for key, values in totals.items()]


def _combine(column: str, total: float, value: float) -> float:
    if column in ("limit", "capacity"):
        return max(total, value)
    if column == "budget_left":
        return value if total == 0.0 else min(total, value)
    return total + value
