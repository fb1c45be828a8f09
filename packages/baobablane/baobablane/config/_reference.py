"""Check that the entries of a configuration name only entries that exist."""

from collections.abc import Iterator, Mapping

from ._entry import Entry, Instance, Key, Placement, Pool, Queue, Service, Wave


def reference_problems(entries_by_key: Mapping[str, Entry]) -> list[str]:
    """Return one line for each reference to an entry that does not exist."""
    return list(_find_problems(entries_by_key))


def _find_problems(entries_by_key: Mapping[str, Entry]) -> Iterator[str]:
    for key, entry in entries_by_key.items():
        for target in _references(entry):
            if target not in entries_by_key:
                yield f"{key} names {target}, which does not exist"


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
