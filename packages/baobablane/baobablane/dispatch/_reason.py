"""Define the reasons for dispatch decisions."""

from enum import StrEnum


class Reason(StrEnum):
    """Name why the dispatcher started, queued, retried or ended a request."""

    IMMEDIATE = "immediate"
    WAITED = "waited"
    RETRY_FAILED = "retry-failed"
    RETRY_NOT_STARTED = "retry-not-started"
    NO_ROOM = "no-room"
    TEAM_LIMIT = "team-limit"
    POOL_BUDGET = "pool-budget"
    ANSWERED = "answered"
    FAILED = "failed"
    POISON = "poison"
    RETRY_BUDGET = "retry-budget"
    MAY_HAVE_RUN = "may-have-run"
    DEADLINE = "deadline"
    CANCELLED = "cancelled"
    UNCONFIRMED = "unconfirmed"
