"""Plan the change that turns a configuration into the wanted one."""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import StrEnum

import msgspec

from ._change import Change
from ._entry import Entry, Instance, Key, Placement, PlacementPhase, Wave, entry_key
from ._fold import ConfigState, pool_of_instance


class PlanAction(StrEnum):
    """List the effects that a plan has on an entry."""

    ADD = "add"
    CHANGE = "change"
    REMOVE = "remove"
    MOVE = "move"
    KEEP_WITHDRAWN = "keep-withdrawn"


@dataclass(frozen=True, slots=True)
class PlanLine:
    """Describe one effect of a plan."""

    action: PlanAction
    key: str
    detail: str = ""


@dataclass(frozen=True, slots=True)
class Plan:
    """Hold a change and a description of each of its effects."""

    change: Change
    lines: tuple[PlanLine, ...]

    @property
    def is_empty(self) -> bool:
        """Return whether the plan changes nothing."""
        return not (self.change.puts or self.change.deletes)


def plan_change(
    state: ConfigState, wanted: Iterable[Entry], change_id: str, author: str
) -> Plan:
    """Return the change from the configuration in force to the wanted entries.

    Placements of wanted instances, waves, withdrawn keys and the keys of wanted teams
    stay even if they are not wanted.
    """
    wanted_by_key = {entry_key(entry): entry for entry in wanted}
    puts: list[Entry] = []
    lines: list[PlanLine] = []
    for key, entry in wanted_by_key.items():
        added, line = _plan_entry(state, key, entry)
        puts += added
        if line is not None:
            lines.append(line)
    deletes = [
        key
        for key, versioned in state.entries_by_key.items()
        if key not in wanted_by_key and not _is_kept(versioned.entry, wanted_by_key)
    ]
    lines += [PlanLine(PlanAction.REMOVE, key) for key in deletes]
    changed_keys = [entry_key(entry) for entry in puts] + deletes
    expects = {key: state.revision_of(key) for key in changed_keys}
    change = Change(change_id, author, expects, tuple(puts), tuple(deletes))
    return Plan(change, tuple(lines))


def _is_kept(entry: Entry, wanted_by_key: dict[str, Entry]) -> bool:
    match entry:
        case Placement():
            return f"instance/{entry.instance}" in wanted_by_key
        case Key():
            # A key that the rules no longer list stays valid until `key withdraw`, or
            # until its team is removed.
            return entry.withdrawn or f"team/{entry.team}" in wanted_by_key
        case Wave():
            return True
        case _:
            return False


def _plan_entry(
    state: ConfigState, key: str, entry: Entry
) -> tuple[list[Entry], PlanLine | None]:
    versioned = state.entries_by_key.get(key)
    if versioned is None:
        return [entry], PlanLine(PlanAction.ADD, key)
    if versioned.entry == entry:
        return [], None
    if (
        isinstance(entry, Key)
        and isinstance(versioned.entry, Key)
        and versioned.entry.withdrawn
    ):
        return [], PlanLine(PlanAction.KEEP_WITHDRAWN, key)
    if isinstance(entry, Instance):
        return _plan_instance(state, key, entry)
    return [entry], PlanLine(
        PlanAction.CHANGE, key, _describe_changes(versioned.entry, entry)
    )


def _plan_instance(
    state: ConfigState, key: str, entry: Instance
) -> tuple[list[Entry], PlanLine | None]:
    pool = pool_of_instance(state.entries_by_key, entry.id)
    current = state.entries_by_key[key].entry
    registered_pool = current.pool if isinstance(current, Instance) else pool
    # An instance that a placement put into another pool stays there, unless the
    # register's pool changes.
    if entry.pool in (pool, registered_pool):
        return [entry], PlanLine(
            PlanAction.CHANGE, key, _describe_changes(current, entry)
        )
    drain = Placement(entry.id, pool, PlacementPhase.DRAINING, next_pool=entry.pool)
    return [entry, drain], PlanLine(PlanAction.MOVE, key, f"{pool} -> {entry.pool}")


def _describe_changes(old: Entry, new: Entry) -> str:
    before = msgspec.structs.asdict(old)
    after = msgspec.structs.asdict(new)
    changed = (name for name in after if before.get(name) != after[name])
    return ", ".join(f"{name}: {before.get(name)} -> {after[name]}" for name in changed)
