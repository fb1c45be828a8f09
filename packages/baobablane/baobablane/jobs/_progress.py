"""Define the progress of a job."""

import msgspec

from ._job_state import JobState
from ._task import Task


class JobProgress(msgspec.Struct):
    """Hold a job's state and, until it is final, the tasks started at least once."""

    state: JobState = JobState.PENDING
    # The key is "occurrence.step.position", as in TaskId.
    tasks: dict[str, Task] = {}
    # All tasks of the occurrences before this one are done, and are left out.
    first_open: int = 0
