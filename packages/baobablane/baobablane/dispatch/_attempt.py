"""Define an attempt and its results."""

from enum import StrEnum

import msgspec


class AttemptResult(StrEnum):
    """Name the result of an attempt at an upstream."""

    DONE = "done"
    FAILED = "failed"
    # The upstream reported that it is full and did not start the request.
    FULL = "full"
    # Nothing of the request was sent.
    NOT_SENT = "not-sent"
    # The log did not record the intent, so nothing was sent.
    NOT_RECORDED = "not-recorded"
    CONNECTION_LOST = "connection-lost"
    TIMEOUT = "timeout"
    # The response belongs to another request.
    CROSSED = "crossed"
    TRUNCATED = "truncated"
    CANCELLED = "cancelled"


class Attempt(msgspec.Struct, frozen=True, gc=False):
    """Identify one attempt of a request at an upstream."""

    id: str
    request: str
    upstream: str
    number: int
