"""Define the records of the configuration stream."""

import msgspec

from ._entry import Entry


class Change(msgspec.Struct, frozen=True, tag="change"):
    """Replace and remove entries whose revisions are as `expects` says."""

    id: str
    author: str
    # Revision of each entry that the change builds on; 0 where none may exist.
    expects: dict[str, int]
    puts: tuple[Entry, ...] = ()
    deletes: tuple[str, ...] = ()


class CheckpointEntry(msgspec.Struct, frozen=True):
    """Carry one entry with the revision that set it."""

    revision: int
    entry: Entry


class Checkpoint(msgspec.Struct, frozen=True, tag="checkpoint"):
    """Carry the whole fold up to an offset, so that older records may expire."""

    id: str
    offset: int
    revision: int
    entries: tuple[CheckpointEntry, ...]
    recent_ids: tuple[str, ...]


ConfigRecord = Change | Checkpoint
