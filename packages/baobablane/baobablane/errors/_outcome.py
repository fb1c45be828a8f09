"""Define the outcomes of requests."""

from enum import StrEnum


class Outcome(StrEnum):
    """Name whether a request ran, as far as is known."""

    DONE = "done"
    FAILED = "failed"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
