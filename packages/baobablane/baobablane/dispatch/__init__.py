"""Re-export the dispatcher, which decides when and where a request runs."""

from ._attempt import Attempt, AttemptResult
from ._dispatcher import Dispatcher, DispatchPolicy
from ._reason import Reason
from ._request import OPEN_TEAM, WorkRequest
from ._request_step import Finish, RequestStep, Start, Wait
from ._task_lease import RENEWALS_PER_LEASE, TASK_LEASE_SECONDS

__all__ = [
    "OPEN_TEAM",
    "RENEWALS_PER_LEASE",
    "TASK_LEASE_SECONDS",
    "Attempt",
    "AttemptResult",
    "DispatchPolicy",
    "Dispatcher",
    "Finish",
    "Reason",
    "RequestStep",
    "Start",
    "Wait",
    "WorkRequest",
]
