"""Judge from an attempt's result whether its request is finished."""

from dataclasses import dataclass

from ..errors import ResultCode
from ._attempt import AttemptResult
from ._reason import Reason
from ._request import WorkRequest
from ._step import Finish

MAY_HAVE_RUN_CODES = {
    AttemptResult.CONNECTION_LOST: ResultCode.CONNECTION_LOST,
    AttemptResult.TIMEOUT: ResultCode.TIMEOUT,
    AttemptResult.CROSSED: ResultCode.ANSWER_CROSSED,
    AttemptResult.TRUNCATED: ResultCode.ANSWER_TRUNCATED,
}


@dataclass(frozen=True, slots=True)
class Unstarted:
    """Say that nothing ran, so that any request may be sent again."""


@dataclass(frozen=True, slots=True)
class Repeatable:
    """Say that an idempotent request may be tried again, or else ends with a code."""

    code: ResultCode


Verdict = Finish | Unstarted | Repeatable


def judge(request: WorkRequest, result: AttemptResult, most_failures: int) -> Verdict:
    """Return what a result means, and note on the request that it may have run."""
    match result:
        case AttemptResult.DONE:
            return Finish(ResultCode.DONE, Reason.ANSWERED)
        case AttemptResult.CANCELLED:
            return Finish(ResultCode.CANCELLED_RUNNING, Reason.CANCELLED)
        case AttemptResult.FULL | AttemptResult.NOT_SENT | AttemptResult.NOT_RECORDED:
            return Unstarted()
        case AttemptResult.FAILED:
            return _judge_failure(request, most_failures)
        case _:
            request.ran = MAY_HAVE_RUN_CODES[result]
            if request.queue.idempotent:
                return Repeatable(request.ran)
            return Finish(request.ran, Reason.MAY_HAVE_RUN)


def _judge_failure(request: WorkRequest, most_failures: int) -> Verdict:
    request.ran = ResultCode.UPSTREAM_FAILED
    if not request.queue.idempotent:
        return Finish(ResultCode.UPSTREAM_FAILED, Reason.FAILED)
    if len(request.failed_on) >= most_failures:
        return Finish(ResultCode.GIVEN_UP, Reason.POISON)
    return Repeatable(ResultCode.UPSTREAM_FAILED)
