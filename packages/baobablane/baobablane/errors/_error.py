"""Define the exception tree."""

from dataclasses import dataclass

from ._result_code import ResultCode, describe


@dataclass(frozen=True, slots=True)
class InputProblem:
    """Locate one fault in an operator's input."""

    file: str
    line: int
    field: str
    value: str
    reason: str

    def __str__(self) -> str:
        """Return the fault as one line that an editor can follow."""
        location = f"{self.file}:{self.line}"
        return f"{location}: {self.field}: {self.reason} (value: {self.value})"


class BaobablaneError(Exception):
    """Carry a result code with every error of this product."""

    code: ResultCode = ResultCode.BAD_REQUEST

    def __init__(self, detail: str = "") -> None:
        """Keep the detail, or take the code's title where none is given."""
        self.detail = detail or describe(self.code).title
        super().__init__(self.detail)


class InputError(BaobablaneError):
    """Report every fault of an operator's input at once."""

    code = ResultCode.INPUT_INVALID

    def __init__(self, problems: list[InputProblem]) -> None:
        """Keep the faults and print one a line."""
        self.problems = problems
        super().__init__("\n".join(str(problem) for problem in problems))


class ConflictError(BaobablaneError):
    """Report that another change was accepted first."""

    code = ResultCode.CHANGE_CONFLICT


class LogUnavailableError(BaobablaneError):
    """Report that the platform's log did not answer."""

    code = ResultCode.OPERATOR_LOG_UNAVAILABLE


class NotInForceError(BaobablaneError):
    """Report that a revision did not come into force everywhere in time."""

    code = ResultCode.NOT_IN_FORCE


class NotFoundError(BaobablaneError):
    """Report that the thing asked for does not exist."""

    code = ResultCode.NOT_FOUND


class RejectedError(BaobablaneError):
    """Refuse a caller's request with a result code and a time to come back."""

    def __init__(
        self, code: ResultCode, detail: str = "", retry_after_seconds: float = 0.0
    ) -> None:
        """Keep the code, the detail and the time to come back in seconds."""
        self.code = code
        self.retry_after_seconds = retry_after_seconds
        super().__init__(detail)
