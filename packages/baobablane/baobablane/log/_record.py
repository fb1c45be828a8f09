"""Define what the platform's log returns."""

import msgspec


class LogRecord(msgspec.Struct, frozen=True):
    """Hold one record with its offset and the log's own time in seconds."""

    offset: int
    appended_at: float
    payload: str


class LogPage(msgspec.Struct, frozen=True):
    """Hold consecutive records, the oldest kept offset and the next new one."""

    first_offset: int
    next_offset: int
    records: tuple[LogRecord, ...]
