"""Define the next step of a request."""

import msgspec

from ..errors import ResultCode
from ._attempt import Attempt
from ._reason import Reason


class Start(msgspec.Struct, frozen=True, gc=False):
    """Send the request to an upstream now."""

    attempt: Attempt
    reason: Reason
    zone: str


class Wait(msgspec.Struct, frozen=True, gc=False):
    """Keep the request queued until the dispatcher starts it."""

    reason: Reason
    # Monotonic time, in seconds, after which a start would miss the deadline.
    start_by: float


class Finish(msgspec.Struct, frozen=True, gc=False):
    """Send the caller its final answer now."""

    code: ResultCode
    reason: Reason
    retry_after_seconds: float = 0.0


RequestStep = Start | Wait | Finish
