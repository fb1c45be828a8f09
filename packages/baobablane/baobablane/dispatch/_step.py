"""Define what is to be done next for a request."""

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
    """Wait until the dispatcher starts the request."""

    reason: Reason
    # Monotonic time, in seconds, after which a start is of no use.
    start_by: float


class Finish(msgspec.Struct, frozen=True, gc=False):
    """Give the caller its final answer now."""

    code: ResultCode
    reason: Reason
    retry_after_seconds: float = 0.0


Step = Start | Wait | Finish
