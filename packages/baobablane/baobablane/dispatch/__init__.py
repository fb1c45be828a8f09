"""Re-export the dispatcher, which decides when and where a request runs."""

from ._attempt import Attempt, AttemptResult
from ._dispatcher import Dispatcher, DispatchPolicy
from ._reason import Reason
from ._request import OPEN_TEAM, WorkRequest
from ._step import Finish, Start, Step, Wait

__all__ = [
    "OPEN_TEAM",
    "Attempt",
    "AttemptResult",
    "DispatchPolicy",
    "Dispatcher",
    "Finish",
    "Reason",
    "Start",
    "Step",
    "Wait",
    "WorkRequest",
]
