"""Find tasks of jobs that have not ended."""

from ..jobs import Task, TaskId
from ._state import SchedulerState


def find_open_task(state: SchedulerState, task_id: TaskId) -> Task | None:
    """Return a task of a job that has not ended, or None."""
    job_run = state.jobs.get(task_id.job)
    found = job_run.find_task(task_id) if job_run else None
    if job_run is None or found is None or job_run.state.is_final():
        return None
    return found[1]
