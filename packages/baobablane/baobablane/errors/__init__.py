"""Re-export the result codes and the exception hierarchy."""

from ._error import (
    BaobablaneError,
    ConflictError,
    DuplicateRunError,
    InputError,
    InputProblem,
    JobLimitError,
    LogUnavailableError,
    NotFoundError,
    NotInForceError,
    RejectedError,
)
from ._outcome import Outcome
from ._result_code import ResultCode, ResultDescription, describe, outcome_of

__all__ = [
    "BaobablaneError",
    "ConflictError",
    "DuplicateRunError",
    "InputError",
    "InputProblem",
    "JobLimitError",
    "LogUnavailableError",
    "NotFoundError",
    "NotInForceError",
    "Outcome",
    "RejectedError",
    "ResultCode",
    "ResultDescription",
    "describe",
    "outcome_of",
]
