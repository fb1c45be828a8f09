"""Define the reasons for which a member is put under notice."""

from enum import StrEnum


class NoticeGround(StrEnum):
    """List the reasons for which a member is put under notice.

    Superseded: a newer process of its instance has joined. Terminated: the platform
    lists its instance as "gone". Suspected: its heartbeats timed out; it may still run.
    """

    SUPERSEDED = "superseded"
    TERMINATED = "terminated"
    SUSPECTED = "suspected"
