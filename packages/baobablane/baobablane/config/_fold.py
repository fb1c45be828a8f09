"""Fold the configuration stream into the configuration in force."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from ._change import Change, Checkpoint, CheckpointEntry, ConfigRecord
from ._entry import Entry, Instance, Key, Placement, PlacementPhase, key_of
from ._reference import missing_references, reference_problems

ABSENT = -1
RECENT_IDS_KEPT = 2048


@dataclass(frozen=True, slots=True)
class VersionedEntry:
    """Hold an entry and the revision that set it."""

    revision: int
    entry: Entry


@dataclass(frozen=True, slots=True)
class ConfigState:
    """Hold the configuration in force at one revision."""

    revision: int = ABSENT
    entries_by_key: Mapping[str, VersionedEntry] = field(default_factory=dict)
    recent_ids: Mapping[str, None] = field(default_factory=dict)

    def revision_of(self, key: str) -> int:
        """Return the revision of an entry, ABSENT where there is none."""
        held = self.entries_by_key.get(key)
        return ABSENT if held is None else held.revision


@dataclass(frozen=True, slots=True)
class Verdict:
    """Tell a writer what became of its record."""

    record_id: str
    offset: int
    accepted: bool
    reason: str = ""


def apply_record(
    state: ConfigState, offset: int, record: ConfigRecord
) -> tuple[ConfigState, Verdict]:
    """Return the state after a record, and what became of the record."""
    if isinstance(record, Checkpoint):
        return state, Verdict(record.id, offset, accepted=True)
    if record.id in state.recent_ids:
        return state, Verdict(record.id, offset, False, "duplicate")
    reason = _find_conflict(state, record)
    if reason:
        return _remember(state, record.id), Verdict(record.id, offset, False, reason)
    entries = _apply_entries(state, offset, record)
    problems = _find_missing(entries, record)
    if problems:
        verdict = Verdict(record.id, offset, False, "; ".join(problems))
        return _remember(state, record.id), verdict
    ids = _remember(state, record.id).recent_ids
    return ConfigState(offset, entries, ids), Verdict(record.id, offset, True)


def make_checkpoint(state: ConfigState, offset: int, record_id: str) -> Checkpoint:
    """Return a checkpoint of the fold of all records up to an offset."""
    return Checkpoint(
        id=record_id,
        offset=offset,
        revision=state.revision,
        entries=tuple(
            CheckpointEntry(held.revision, held.entry)
            for _, held in sorted(state.entries_by_key.items())
        ),
        recent_ids=tuple(state.recent_ids),
    )


def restore_checkpoint(record: ConfigRecord) -> ConfigState:
    """Return the state that a checkpoint carries."""
    if not isinstance(record, Checkpoint):
        return ConfigState()
    entries = {
        key_of(item.entry): VersionedEntry(item.revision, item.entry)
        for item in record.entries
    }
    return ConfigState(record.revision, entries, dict.fromkeys(record.recent_ids))


def _remember(state: ConfigState, record_id: str) -> ConfigState:
    ids = dict(state.recent_ids)
    ids[record_id] = None
    if len(ids) > RECENT_IDS_KEPT:
        del ids[next(iter(ids))]
    return ConfigState(state.revision, state.entries_by_key, ids)


def _find_conflict(state: ConfigState, change: Change) -> str:
    for key, expected in change.expects.items():
        actual = state.revision_of(key)
        if actual != expected:
            return f"{key} is at revision {actual}, not {expected}"
    for entry in change.puts:
        reason = _find_forbidden_put(state, change, entry)
        if reason:
            return reason
    return ""


def _find_forbidden_put(state: ConfigState, change: Change, entry: Entry) -> str:
    key = key_of(entry)
    if key not in change.expects:
        return f"{key} is put without the revision that it builds on"
    held = state.entries_by_key.get(key)
    match entry:
        case Key() if held is not None and isinstance(held.entry, Key):
            if held.entry.withdrawn and not entry.withdrawn:
                return f"{key} is withdrawn and can't be given again"
        case Placement():
            return _find_forbidden_move(state, entry)
        case Instance():
            return _find_forbidden_register_move(state, change, entry)
        case _:
            pass
    return ""


def _find_forbidden_move(state: ConfigState, placement: Placement) -> str:
    pool = pool_of(state.entries_by_key, placement.instance)
    if pool in ("", placement.pool):
        return ""
    held = state.entries_by_key.get(f"placement/{placement.instance}")
    current = held.entry if held is not None else None
    if isinstance(current, Placement) and current.phase != PlacementPhase.SERVING:
        return ""
    return f"{placement.instance} must drain before it leaves pool {pool}"


def _find_forbidden_register_move(
    state: ConfigState, change: Change, instance: Instance
) -> str:
    pool = pool_of(state.entries_by_key, instance.id)
    if pool in ("", instance.pool):
        return ""
    placed = any(
        isinstance(entry, Placement) and entry.instance == instance.id
        for entry in change.puts
    )
    if placed or f"placement/{instance.id}" in state.entries_by_key:
        return ""
    return f"{instance.id} must drain before it leaves pool {pool}"


def pool_of(entries_by_key: Mapping[str, VersionedEntry], instance: str) -> str:
    """Return the one pool that an instance belongs to, empty if unknown."""
    placed = entries_by_key.get(f"placement/{instance}")
    if placed is not None and isinstance(placed.entry, Placement):
        return placed.entry.pool
    held = entries_by_key.get(f"instance/{instance}")
    if held is not None and isinstance(held.entry, Instance):
        return held.entry.pool
    return ""


def _find_missing(entries: Mapping[str, VersionedEntry], change: Change) -> list[str]:
    if change.deletes:
        return reference_problems({k: held.entry for k, held in entries.items()})
    # Without deletes, only what is put can name an entry that does not exist.
    return [
        problem
        for entry in change.puts
        for problem in missing_references(entry, entries)
    ]


def _apply_entries(
    state: ConfigState, offset: int, change: Change
) -> dict[str, VersionedEntry]:
    entries = dict(state.entries_by_key)
    for key in change.deletes:
        entries.pop(key, None)
    for entry in change.puts:
        entries[key_of(entry)] = VersionedEntry(offset, entry)
    return entries
