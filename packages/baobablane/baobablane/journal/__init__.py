"""Re-export the journal of requests that run at most once."""

from ._journal import IdempotencyKeyState, Journal
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
    "IdempotencyKeyState",
    "RecordedOutcome",
    "decode_record",
    "encode_record",
]
