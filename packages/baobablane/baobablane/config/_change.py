"""Define the records of the configuration stream."""

import msgspec

from ._entry import Entry


class Change(msgspec.Struct, frozen=True, tag="change"):
    """Put and delete entries, if all entries are at their expected revisions."""

    id: str
    author: str
    # Expected revision of each entry by key; -1 (ABSENT) if it must not exist yet.
    expects: dict[str, int]
    puts: tuple[Entry, ...] = ()
    deletes: tuple[str, ...] = ()


class CheckpointEntry(msgspec.Struct, frozen=True):
    """Hold one entry and the revision that last put it."""

    revision: int
    entry: Entry


class Checkpoint(msgspec.Struct, frozen=True, tag="checkpoint"):
    """Hold the whole state up to an offset, so that older records may expire."""

    id: str
    offset: int
    revision: int
    entries: tuple[CheckpointEntry, ...]
    recent_ids: tuple[str, ...]


ConfigRecord = Change | Checkpoint
