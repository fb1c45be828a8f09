"""Fold the configuration stream into the configuration in force."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from ._change import Change, Checkpoint, CheckpointEntry, ConfigRecord
from ._entry import Entry, Instance, Key, Placement, PlacementPhase, entry_key
from ._reference import find_missing_references, find_missing_targets

# Revision of an entry or a configuration that doesn't exist; log offsets start at 0.
ABSENT = -1
# Number of latest record ids that are kept to detect duplicates.
MAX_RECENT_IDS = 2048


@dataclass(frozen=True, slots=True)
class VersionedEntry:
    """Hold an entry and the revision that last put it."""

    revision: int
    entry: Entry


@dataclass(frozen=True, slots=True)
class ConfigState:
    """Hold the configuration in force at one revision."""

    revision: int = ABSENT
    entries_by_key: Mapping[str, VersionedEntry] = field(default_factory=dict)
    recent_ids: Mapping[str, None] = field(default_factory=dict)

    def revision_of(self, key: str) -> int:
        """Return the revision of an entry, or ABSENT if it doesn't exist."""
        versioned = self.entries_by_key.get(key)
        return ABSENT if versioned is None else versioned.revision


@dataclass(frozen=True, slots=True)
class ApplyResult:
    """Report whether a record was accepted and, if it was rejected, why."""

    record_id: str
    offset: int
    accepted: bool
    reason: str = ""


def apply_record(
    state: ConfigState, offset: int, record: ConfigRecord
) -> tuple[ConfigState, ApplyResult]:
    """Return the state after a record, and whether the record was accepted.

    A rejected change alters at most the recent ids, a checkpoint nothing.
    """
    if isinstance(record, Checkpoint):
        return state, ApplyResult(record.id, offset, accepted=True)
    if record.id in state.recent_ids:
        return state, ApplyResult(record.id, offset, False, "duplicate")
    reason = _find_conflict(state, record)
    if reason:
        return _add_recent_id(state, record.id), ApplyResult(
            record.id, offset, False, reason
        )
    entries = _apply_entries(state, offset, record)
    problems = _find_missing_in_change(entries, record)
    if problems:
        result = ApplyResult(record.id, offset, False, "; ".join(problems))
        return _add_recent_id(state, record.id), result
    ids = _add_recent_id(state, record.id).recent_ids
    return ConfigState(offset, entries, ids), ApplyResult(record.id, offset, True)


def make_checkpoint(state: ConfigState, offset: int, record_id: str) -> Checkpoint:
    """Return a checkpoint of the state after all records up to an offset."""
    return Checkpoint(
        id=record_id,
        offset=offset,
        revision=state.revision,
        entries=tuple(
            CheckpointEntry(versioned.revision, versioned.entry)
            for _, versioned in sorted(state.entries_by_key.items())
        ),
        recent_ids=tuple(state.recent_ids),
    )


def restore_checkpoint(record: ConfigRecord) -> ConfigState:
    """Return the state stored in a checkpoint, or an empty state for other records."""
    if not isinstance(record, Checkpoint):
        return ConfigState()
    entries = {
        entry_key(item.entry): VersionedEntry(item.revision, item.entry)
        for item in record.entries
    }
    return ConfigState(record.revision, entries, dict.fromkeys(record.recent_ids))


def _add_recent_id(state: ConfigState, record_id: str) -> ConfigState:
    ids = dict(state.recent_ids)
    ids[record_id] = None
    if len(ids) > MAX_RECENT_IDS:
        del ids[next(iter(ids))]
    return ConfigState(state.revision, state.entries_by_key, ids)


def _find_conflict(state: ConfigState, change: Change) -> str:
    for key, expected in change.expects.items():
        actual = state.revision_of(key)
        if actual != expected:
            return f"{key} is at revision {actual}, not {expected}"
    for entry in change.puts:
        reason = _find_put_conflict(state, change, entry)
        if reason:
            return reason
    return ""


def _find_put_conflict(state: ConfigState, change: Change, entry: Entry) -> str:
    key = entry_key(entry)
    if key not in change.expects:
        return f"{key} is put without the revision that it builds on"
    versioned = state.entries_by_key.get(key)
    match entry:
        case Key() if versioned is not None and isinstance(versioned.entry, Key):
            if versioned.entry.withdrawn and not entry.withdrawn:
                return f"{key} is withdrawn and can't be given again"
        case Placement():
            return _find_placement_conflict(state, entry)
        case Instance():
            return _find_instance_conflict(state, change, entry)
        case _:
            pass
    return ""


def _find_placement_conflict(state: ConfigState, placement: Placement) -> str:
    pool = pool_of_instance(state.entries_by_key, placement.instance)
    if pool in ("", placement.pool):
        return ""
    versioned = state.entries_by_key.get(f"placement/{placement.instance}")
    current = versioned.entry if versioned is not None else None
    if isinstance(current, Placement) and current.phase != PlacementPhase.SERVING:
        return ""
    return f"{placement.instance} must drain before it leaves pool {pool}"


def _find_instance_conflict(
    state: ConfigState, change: Change, instance: Instance
) -> str:
    pool = pool_of_instance(state.entries_by_key, instance.id)
    if pool in ("", instance.pool):
        return ""
    is_placed = any(
        isinstance(entry, Placement) and entry.instance == instance.id
        for entry in change.puts
    )
    if is_placed or f"placement/{instance.id}" in state.entries_by_key:
        return ""
    return f"{instance.id} must drain before it leaves pool {pool}"


def pool_of_instance(
    entries_by_key: Mapping[str, VersionedEntry], instance: str
) -> str:
    """Return the pool that an instance belongs to, or "" if it is unknown."""
    placement = entries_by_key.get(f"placement/{instance}")
    if placement is not None and isinstance(placement.entry, Placement):
        return placement.entry.pool
    versioned = entries_by_key.get(f"instance/{instance}")
    if versioned is not None and isinstance(versioned.entry, Instance):
        return versioned.entry.pool
    return ""


def _find_missing_in_change(
    entries: Mapping[str, VersionedEntry], change: Change
) -> list[str]:
    if change.deletes:
        return find_missing_references(
            {k: versioned.entry for k, versioned in entries.items()}
        )
    # Without deletes, only new entries can refer to an entry that doesn't exist.
    return [
        problem
        for entry in change.puts
        for problem in find_missing_targets(entry, entries)
    ]


def _apply_entries(
    state: ConfigState, offset: int, change: Change
) -> dict[str, VersionedEntry]:
    entries = dict(state.entries_by_key)
    for key in change.deletes:
        entries.pop(key, None)
    for entry in change.puts:
        entries[entry_key(entry)] = VersionedEntry(offset, entry)
    return entries
