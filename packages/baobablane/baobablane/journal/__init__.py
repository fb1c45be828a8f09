"""Re-export the journal of requests that run at most once."""

from ._journal import Journal, KeyState
from ._record import (
    Intent,
    JournalRecord,
    RecordedOutcome,
    decode_record,
    encode_record,
)

__all__ = [
    "Intent",
    "Journal",
    "JournalRecord",
    "KeyState",
    "RecordedOutcome",
    "decode_record",
    "encode_record",
]
