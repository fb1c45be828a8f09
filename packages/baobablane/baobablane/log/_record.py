"""Define the records and pages that the platform's log returns."""

import msgspec


class LogRecord(msgspec.Struct, frozen=True):
    """Store a record, its offset, and its append time in Unix seconds."""

    offset: int
    appended_at: float
    payload: str


class LogPage(msgspec.Struct, frozen=True):
    """Store consecutive records, the oldest retained offset and the next offset."""

    first_offset: int
    next_offset: int
    records: tuple[LogRecord, ...]
