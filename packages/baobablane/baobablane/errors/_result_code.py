"""Define every result code that a caller or an operator can get."""

from dataclasses import dataclass
from enum import IntEnum

from ._outcome import Outcome


class ResultCode(IntEnum):
    """Number the results; the hundreds digit determines the outcome."""

    DONE = 0
    ACCEPTED = 1
    CANCEL_PASSED_ON = 2
    UPSTREAM_FAILED = 100
    GIVEN_UP = 101
    BAD_REQUEST = 200
    UNKNOWN_QUEUE = 201
    KEY_MISSING = 202
    KEY_REFUSED = 203
    TEAM_NOT_ALLOWED = 204
    QUEUE_FULL = 205
    DEADLINE_PASSED = 206
    NO_UPSTREAM = 207
    VIEW_NOT_CONFIRMED = 208
    NOT_READY = 209
    LOG_UNAVAILABLE = 210
    IDEMPOTENCY_KEY_MISSING = 211
    CANCELLED = 213
    STOPPING = 214
    BODY_TOO_LARGE = 215
    UNKNOWN_REQUEST = 216
    DEFERRED_NOT_ALLOWED = 217
    NOT_STARTED = 218
    KEY_REUSED = 219
    FIELD_OUT_OF_RANGE = 220
    BODY_TOO_SLOW = 221
    CANCELLATIONS_FULL = 222
    CONNECTION_LOST = 300
    TIMEOUT = 301
    ANSWER_CROSSED = 302
    ANSWER_TRUNCATED = 303
    ALREADY_ATTEMPTED = 304
    CANCELLED_RUNNING = 305
    ACCEPTANCE_UNKNOWN = 306
    ANSWER_NOT_KEPT = 307
    # An earlier request may have run under the key while the key was valid.
    KEY_VALIDITY_PASSED = 308
    # An unexpected error; the request may have taken effect before it.
    INTERNAL_ERROR = 309
    INPUT_INVALID = 400
    CHANGE_CONFLICT = 401
    OPERATOR_LOG_UNAVAILABLE = 402
    NOT_IN_FORCE = 403
    NOT_FOUND = 404
    TOKEN_REFUSED = 405


@dataclass(frozen=True, slots=True)
class ResultDescription:
    """Store the HTTP status, title and retry advice of a result code."""

    status: int
    title: str
    retryable: bool


_DESCRIPTIONS: dict[ResultCode, ResultDescription] = {
    ResultCode.DONE: ResultDescription(200, "done", False),
    ResultCode.ACCEPTED: ResultDescription(202, "accepted for deferred work", False),
    ResultCode.CANCEL_PASSED_ON: ResultDescription(
        202, "the cancellation was passed on", False
    ),
    ResultCode.UPSTREAM_FAILED: ResultDescription(502, "the request failed", False),
    ResultCode.GIVEN_UP: ResultDescription(
        502, "the request failed on several upstreams", False
    ),
    ResultCode.BAD_REQUEST: ResultDescription(400, "the request is malformed", False),
    ResultCode.UNKNOWN_QUEUE: ResultDescription(404, "no such queue", False),
    ResultCode.KEY_MISSING: ResultDescription(401, "a key is required", False),
    ResultCode.KEY_REFUSED: ResultDescription(
        401, "the key is unknown or withdrawn", False
    ),
    ResultCode.TEAM_NOT_ALLOWED: ResultDescription(
        403, "the team may not use this queue", False
    ),
    ResultCode.QUEUE_FULL: ResultDescription(
        429, "the request can't start before its deadline", True
    ),
    ResultCode.DEADLINE_PASSED: ResultDescription(
        503, "the deadline passed before the start", True
    ),
    ResultCode.NO_UPSTREAM: ResultDescription(503, "no upstream is ready", True),
    ResultCode.VIEW_NOT_CONFIRMED: ResultDescription(
        503, "the configuration can't be confirmed", True
    ),
    ResultCode.NOT_READY: ResultDescription(503, "no configuration is in force", True),
    ResultCode.LOG_UNAVAILABLE: ResultDescription(
        503, "the platform's log can't record the request", True
    ),
    ResultCode.IDEMPOTENCY_KEY_MISSING: ResultDescription(
        400, "this queue requires an idempotency key", False
    ),
    ResultCode.KEY_VALIDITY_PASSED: ResultDescription(
        409, "the idempotency key is past its validity time", False
    ),
    ResultCode.CANCELLED: ResultDescription(409, "cancelled before the start", False),
    ResultCode.STOPPING: ResultDescription(503, "this instance is stopping", True),
    ResultCode.BODY_TOO_LARGE: ResultDescription(413, "the body is too large", False),
    ResultCode.BODY_TOO_SLOW: ResultDescription(
        408, "the body did not arrive in time", True
    ),
    ResultCode.CANCELLATIONS_FULL: ResultDescription(
        503, "too many cancellations of unknown jobs are kept", True
    ),
    ResultCode.UNKNOWN_REQUEST: ResultDescription(404, "no such request", False),
    ResultCode.DEFERRED_NOT_ALLOWED: ResultDescription(
        400, "this queue takes no deferred work", False
    ),
    ResultCode.NOT_STARTED: ResultDescription(
        503, "no upstream took the request", True
    ),
    ResultCode.KEY_REUSED: ResultDescription(
        422, "the idempotency key belongs to another request", False
    ),
    ResultCode.FIELD_OUT_OF_RANGE: ResultDescription(
        400, "a field is out of its range", False
    ),
    ResultCode.CONNECTION_LOST: ResultDescription(
        502, "the connection to the upstream was lost", False
    ),
    ResultCode.TIMEOUT: ResultDescription(
        504, "the upstream gave no answer in time", False
    ),
    ResultCode.ANSWER_CROSSED: ResultDescription(
        502, "the upstream answered another request", False
    ),
    ResultCode.ANSWER_TRUNCATED: ResultDescription(
        502, "the upstream's answer is not whole", False
    ),
    ResultCode.ALREADY_ATTEMPTED: ResultDescription(
        409, "an earlier attempt with this key may have run", False
    ),
    ResultCode.CANCELLED_RUNNING: ResultDescription(
        409, "cancelled while running", False
    ),
    ResultCode.ACCEPTANCE_UNKNOWN: ResultDescription(
        503, "the log did not confirm the record; resend with the same key", True
    ),
    ResultCode.ANSWER_NOT_KEPT: ResultDescription(
        410, "the request is done, but its answer was not kept", False
    ),
    ResultCode.INTERNAL_ERROR: ResultDescription(500, "an unexpected error", True),
    ResultCode.INPUT_INVALID: ResultDescription(400, "the input is invalid", False),
    ResultCode.CHANGE_CONFLICT: ResultDescription(
        409, "another change came first", False
    ),
    ResultCode.OPERATOR_LOG_UNAVAILABLE: ResultDescription(
        503, "the platform's log is unavailable", True
    ),
    ResultCode.NOT_IN_FORCE: ResultDescription(
        504, "the revision is not in force everywhere yet", True
    ),
    ResultCode.NOT_FOUND: ResultDescription(404, "not found", False),
    ResultCode.TOKEN_REFUSED: ResultDescription(
        401, "the operator token is missing or wrong", False
    ),
}

_OUTCOMES_BY_HUNDRED = {
    0: Outcome.DONE,
    1: Outcome.FAILED,
    2: Outcome.NOT_RUN,
    3: Outcome.UNKNOWN,
    4: Outcome.NOT_RUN,
}


def describe(code: ResultCode) -> ResultDescription:
    """Return the HTTP status, title and retry advice of a result code."""
    return _DESCRIPTIONS[code]


def outcome_of(code: ResultCode) -> Outcome:
    """Return the outcome that a result code implies."""
    return _OUTCOMES_BY_HUNDRED[code // 100]
