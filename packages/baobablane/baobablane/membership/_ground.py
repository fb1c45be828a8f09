"""Say on what ground a member is taken to be gone."""

from enum import StrEnum


class NoticeGround(StrEnum):
    """Say why a member is taken to be gone."""

    SUPERSEDED = "superseded"
    TERMINATED = "terminated"
    SUSPECTED = "suspected"
