"""Define what a caller may conclude from a result."""

from enum import StrEnum


class Outcome(StrEnum):
    """Say whether a request ran."""

    DONE = "done"
    FAILED = "failed"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
