"""Define the state and progress of a task."""

from enum import IntEnum

import msgspec

from ._run_loss import RunLoss


class TaskState(IntEnum):
    """Name the state of a task."""

    WAITING = 0
    # A start is recorded. The task may be running until its end is recorded.
    STARTED = 1
    DONE = 2


class Task(msgspec.Struct, array_like=True, omit_defaults=True):
    """Hold a task's latest run and its failures as stored."""

    state: TaskState = TaskState.WAITING
    # Number of the latest start, counted from 1; 0 before the first start.
    run: int = 0
    failures: int = 0
    upstream: str = ""
    incarnation: int = 0
    checkpoint: str = ""
    # Latest run counted in `failures`. Its failure is reported again to a new owner,
    # which must not count it twice.
    failed_run: int = 0
    # Runs that were lost soon after their start. Empty again once a run has settled.
    losses: list[RunLoss] = []
    # When the latest run was started, in Unix milliseconds of its owner's clock; 0 if
    # that is unknown. Earlier versions recorded it for trials alone.
    start_ms: int = 0
    # How many runs showed no progress and were stopped for that.
    stalls: int = 0
