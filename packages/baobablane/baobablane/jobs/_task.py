"""Hold how far a task is."""

from enum import IntEnum

import msgspec


class TaskState(IntEnum):
    """Say what a task is doing."""

    WAITING = 0
    # A start was recorded; the task may run until its end is noted.
    STARTED = 1
    DONE = 2


class Task(msgspec.Struct, array_like=True, omit_defaults=True):
    """Hold a task's latest run and its failures, as they are recorded."""

    state: TaskState = TaskState.WAITING
    # Number of the latest start, from 1.
    run: int = 0
    failures: int = 0
    upstream: str = ""
    incarnation: int = 0
    checkpoint: str = ""
    # The latest run that is counted in `failures`: a new owner hears of it again.
    failed_run: int = 0
