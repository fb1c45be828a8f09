"""Classify an attempt's result as final, retryable or not started."""

from dataclasses import dataclass

from ..errors import ResultCode
from ._attempt import AttemptResult
from ._reason import Reason
from ._request import WorkRequest
from ._request_step import Finish

UNKNOWN_OUTCOME_CODES = {
    AttemptResult.CONNECTION_LOST: ResultCode.CONNECTION_LOST,
    AttemptResult.TIMEOUT: ResultCode.TIMEOUT,
    AttemptResult.CROSSED: ResultCode.ANSWER_CROSSED,
    AttemptResult.TRUNCATED: ResultCode.ANSWER_TRUNCATED,
}


@dataclass(frozen=True, slots=True)
class NotStarted:
    """Mark that nothing ran, so that any request may be sent again."""


@dataclass(frozen=True, slots=True)
class Retryable:
    """Mark that an idempotent request may be retried, or else ends with `code`."""

    code: ResultCode


ResultClass = Finish | NotStarted | Retryable


def classify_result(
    request: WorkRequest, result: AttemptResult, max_failures: int
) -> ResultClass:
    """Return a result's class, and record on the request that it may have run."""
    match result:
        case AttemptResult.DONE:
            return Finish(ResultCode.DONE, Reason.ANSWERED)
        case AttemptResult.CANCELLED:
            return Finish(ResultCode.CANCELLED_RUNNING, Reason.CANCELLED)
        case AttemptResult.FULL | AttemptResult.NOT_SENT | AttemptResult.NOT_RECORDED:
            return NotStarted()
        case AttemptResult.FAILED:
            return _classify_failure(request, max_failures)
        case _:
            request.may_have_run_code = UNKNOWN_OUTCOME_CODES[result]
            if request.queue.idempotent:
                return Retryable(request.may_have_run_code)
            return Finish(request.may_have_run_code, Reason.MAY_HAVE_RUN)


def _classify_failure(request: WorkRequest, max_failures: int) -> ResultClass:
    request.may_have_run_code = ResultCode.UPSTREAM_FAILED
    if not request.queue.idempotent:
        return Finish(ResultCode.UPSTREAM_FAILED, Reason.FAILED)
    if len(request.failed_upstreams) >= max_failures:
        return Finish(ResultCode.GIVEN_UP, Reason.POISON)
    return Retryable(ResultCode.UPSTREAM_FAILED)
