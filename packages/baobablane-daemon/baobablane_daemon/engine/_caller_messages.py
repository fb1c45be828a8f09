"""Define the daemon's internal form of a caller's request and its answer."""

import msgspec
from baobablane.errors import ResultCode


class CallerRequest(msgspec.Struct, frozen=True, gc=False):
    """Represent a request as a caller sent it."""

    # The name that the caller gave, or `request_id` if it gave none.
    request: str
    request_id: str
    queue: str
    key: str
    deadline_seconds: float | None
    idempotency_key: str
    # Unix time in seconds; 0 if the caller gave none.
    key_expires_at: float
    content_type: str
    body: bytes
    # Monotonic time in seconds.
    arrived_at: float
    # Whether to answer once the job is stored, without waiting for its result.
    is_deferred: bool = False


class CallerAnswer(msgspec.Struct, frozen=True, gc=False):
    """Represent the final answer to a caller."""

    request: str
    code: ResultCode
    # The HTTP status of the upstream's response; 0 unless `code` is DONE.
    status: int = 0
    content_type: str = ""
    body: bytes = b""
    retry_after_seconds: float = 0.0
    detail: str = ""
