"""Define the reasons for which a member is considered gone."""

from enum import StrEnum


class NoticeGround(StrEnum):
    """List the reasons for which a member is considered gone.

    Superseded: a newer process of its instance has joined. Terminated: the platform
    lists its instance as gone. Suspected: its heartbeats timed out; it may still run.
    """

    SUPERSEDED = "superseded"
    TERMINATED = "terminated"
    SUSPECTED = "suspected"
