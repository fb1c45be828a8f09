"""Define the outcomes of requests."""

from enum import StrEnum


class Outcome(StrEnum):
    """Classify whether a request ran, as far as is known."""

    DONE = "done"
    FAILED = "failed"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
