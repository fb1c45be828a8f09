"""Define the exception hierarchy."""

from dataclasses import dataclass

from ._result_code import ResultCode, describe


@dataclass(frozen=True, slots=True)
class InputProblem:
    """Locate one error in an operator's input."""

    file: str
    # Line from 1, or 0 if it is unknown.
    line: int
    field: str
    value: str
    reason: str

    def __str__(self) -> str:
        """Return the problem as one line in the `file:line` form of compilers."""
        location = f"{self.file}:{self.line}"
        return f"{location}: {self.field}: {self.reason} (value: {self.value})"


class BaobablaneError(Exception):
    """Attach a result code to every error of this product."""

    code: ResultCode = ResultCode.BAD_REQUEST

    def __init__(self, detail: str = "") -> None:
        """Store the detail, or the result code's title if there is none."""
        self.detail = detail or describe(self.code).title
        super().__init__(self.detail)


class InputError(BaobablaneError):
    """Report all problems of an operator's input together."""

    code = ResultCode.INPUT_INVALID

    def __init__(self, problems: list[InputProblem]) -> None:
        """Store the problems and format one per line."""
        self.problems = problems
        super().__init__("\n".join(str(problem) for problem in problems))


class ConflictError(BaobablaneError):
    """Report that a change was rejected, for example because another came first."""

    code = ResultCode.CHANGE_CONFLICT


class LogUnavailableError(BaobablaneError):
    """Report a failed read of the log, or an append that it did not confirm."""

    code = ResultCode.OPERATOR_LOG_UNAVAILABLE


class NotInForceError(BaobablaneError):
    """Report a timeout before a revision was in force at every entry instance."""

    code = ResultCode.NOT_IN_FORCE


class NotFoundError(BaobablaneError):
    """Report that the requested object does not exist."""

    code = ResultCode.NOT_FOUND


class RejectedError(BaobablaneError):
    """Reject a caller's request with a result code and a retry delay."""

    def __init__(
        self, code: ResultCode, detail: str = "", retry_after_seconds: float = 0.0
    ) -> None:
        """Store the code, the detail and the retry delay in seconds."""
        self.code = code
        self.retry_after_seconds = retry_after_seconds
        super().__init__(detail)


class DuplicateRunError(BaobablaneError, ValueError):
    """Report a second run of a task on one upstream."""

    code = ResultCode.INTERNAL_ERROR

    def __init__(self, upstream: str, run: str) -> None:
        """Name the upstream and the run that is there."""
        super().__init__(f"upstream {upstream} has run {run} already")


class JobLimitError(BaobablaneError, ValueError):
    """Report a field of a job that is out of its range."""

    code = ResultCode.FIELD_OUT_OF_RANGE

    def __init__(
        self, field: str, value: int, minimum: int, maximum: int, unit: str = ""
    ) -> None:
        """Store the range, which includes both ends; `unit` says what is counted."""
        self.field = field
        self.value = value
        self.minimum = minimum
        self.maximum = maximum
        self.unit = unit
        amount = f"{value} {unit}" if unit else str(value)
        super().__init__(f"{field}: {amount} is not in {minimum} to {maximum}")

    def with_field(self, field: str) -> "JobLimitError":
        """Return the same error for a field under another name."""
        return JobLimitError(field, self.value, self.minimum, self.maximum, self.unit)
