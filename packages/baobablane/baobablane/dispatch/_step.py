"""Define what is to be done next for a request."""

from dataclasses import dataclass

from ..errors import ResultCode
from ._attempt import Attempt
from ._reason import Reason


@dataclass(frozen=True, slots=True)
class Start:
    """Send the request to an upstream now."""

    attempt: Attempt
    reason: Reason
    zone: str


@dataclass(frozen=True, slots=True)
class Wait:
    """Wait until the dispatcher starts the request."""

    reason: Reason
    # Monotonic time, in seconds, after which a start is of no use.
    start_by: float


@dataclass(frozen=True, slots=True)
class Finish:
    """Give the caller its final answer now."""

    code: ResultCode
    reason: Reason
    retry_after_seconds: float = 0.0


Step = Start | Wait | Finish
