"""Define the records and pages that the platform's log returns."""

import msgspec


class LogRecord(msgspec.Struct, frozen=True):
    """Store a record, its offset, and its append time in Unix seconds."""

    offset: int
    appended_at: float
    payload: str


class LogPage(msgspec.Struct, frozen=True):
    """Store consecutive records and the range of offsets that the log retains."""

    # Offset of the oldest retained record.
    first_offset: int
    # Offset of the next record to be appended, which may lie beyond this page.
    next_offset: int
    records: tuple[LogRecord, ...]
