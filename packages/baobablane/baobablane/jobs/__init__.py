"""Re-export jobs, their steps and tasks, and their progress."""

from ._cancellation_codec import decode_cancellation, encode_cancellation
from ._check_job import MAX_TASKS_PER_OCCURRENCE, check_job
from ._codec import decode_job, decode_progress, encode_job, encode_progress
from ._job import Job
from ._job_state import JobState
from ._job_table import JobTable
from ._progress import JobProgress
from ._run_loss import RunLoss
from ._shown_count import ShownCount
from ._shown_state import ShownState
from ._step import Step
from ._task import Task, TaskState
from ._task_id import TaskId

__all__ = [
    "MAX_TASKS_PER_OCCURRENCE",
    "Job",
    "JobProgress",
    "JobState",
    "JobTable",
    "RunLoss",
    "ShownCount",
    "ShownState",
    "Step",
    "Task",
    "TaskId",
    "TaskState",
    "check_job",
    "decode_cancellation",
    "decode_job",
    "decode_progress",
    "encode_cancellation",
    "encode_job",
    "encode_progress",
]
