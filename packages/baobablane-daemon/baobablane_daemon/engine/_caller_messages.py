"""Define a caller's request and its answer inside the daemon."""

import msgspec
from baobablane.errors import ResultCode


class CallerRequest(msgspec.Struct, frozen=True, gc=False):
    """Hold what a caller asked for."""

    # The name that the caller gave, or else the one made here.
    request: str
    request_id: str
    queue: str
    key: str
    deadline_seconds: float | None
    idempotency_key: str
    # Seconds since the epoch, 0 where the caller gave none.
    key_expires_at: float
    content_type: str
    body: bytes
    arrived_at: float
    # Whether the caller only wants to know that the work is kept.
    is_deferred: bool = False


class CallerAnswer(msgspec.Struct, frozen=True, gc=False):
    """Hold the final answer to a caller."""

    request: str
    code: ResultCode
    status: int = 0
    content_type: str = ""
    body: bytes = b""
    retry_after_seconds: float = 0.0
    detail: str = ""
