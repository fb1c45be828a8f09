"""Hold how far a job is."""

import msgspec

from ._job_state import JobState
from ._task import Task


class JobProgress(msgspec.Struct):
    """Hold a job's state and the tasks that have been started at least once."""

    state: JobState = JobState.PENDING
    # By occurrence, step and index, joined by dots.
    tasks: dict[str, Task] = {}
