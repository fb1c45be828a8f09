"""Name an attempt and what became of it."""

from enum import StrEnum

import msgspec


class AttemptResult(StrEnum):
    """Say what an attempt at an upstream came to."""

    DONE = "done"
    FAILED = "failed"
    # The upstream said that it is full and did not start.
    FULL = "full"
    # Nothing of the request was sent.
    NOT_SENT = "not-sent"
    # The intent could not be recorded in the log; nothing was sent.
    NOT_RECORDED = "not-recorded"
    CONNECTION_LOST = "connection-lost"
    TIMEOUT = "timeout"
    CROSSED = "crossed"
    TRUNCATED = "truncated"
    CANCELLED = "cancelled"


class Attempt(msgspec.Struct, frozen=True, gc=False):
    """Identify one try of a request at an upstream."""

    id: str
    request: str
    upstream: str
    number: int
