"""Check that the entries of a configuration refer only to existing entries."""

from collections.abc import Container, Mapping

from ._entry import (
    Entry,
    Instance,
    Key,
    Placement,
    Pool,
    Queue,
    Service,
    Wave,
    entry_key,
)


def find_missing_references(entries_by_key: Mapping[str, Entry]) -> list[str]:
    """Return one line for each reference to an entry that doesn't exist."""
    return [
        problem
        for entry in entries_by_key.values()
        for problem in find_missing_targets(entry, entries_by_key)
    ]


def find_missing_targets(entry: Entry, known_keys: Container[str]) -> list[str]:
    """Return one line for each reference of one entry that is not in `known_keys`."""
    return [
        f"{entry_key(entry)} names {target}, which does not exist"
        for target in _references(entry)
        if target not in known_keys
    ]


def _references(entry: Entry) -> tuple[str, ...]:
    match entry:
        case Instance():
            return (f"pool/{entry.pool}",)
        case Placement():
            targets = (f"instance/{entry.instance}", f"pool/{entry.pool}")
            return (*targets, f"pool/{entry.next_pool}") if entry.next_pool else targets
        case Key():
            return () if entry.withdrawn else (f"team/{entry.team}",)
        case Pool():
            return tuple(f"team/{team}" for team in entry.teams)
        case Service():
            return (f"pool/{entry.pool}",)
        case Queue():
            return (f"service/{entry.service}",)
        case Wave():
            return ()
        case _:
            return ()
