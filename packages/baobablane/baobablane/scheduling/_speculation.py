"""Start copies of tasks that may run twice, and settle which run counts.

Load pattern: a rack falls silent in the middle of a turn. What ran there may still run
until its leases are over, longer than most objectives; a task that may run twice starts
elsewhere at once.
"""

from ..jobs import TaskState
from ._state import SchedulerState
from ._upstream import Run, Upstream


def allow_copies(state: SchedulerState, upstream: Upstream) -> None:
    """Let the tasks at a silent upstream that may run twice start elsewhere.

    Their runs there go on being counted until they have surely ended.
    """
    for run in upstream.runs.values():
        job_run = state.jobs.get(run.task.job)
        found = job_run.find_task(run.task) if job_run else None
        if found is None or not found[0].step.may_run_twice:
            continue
        step_run, task = found
        if task.state is TaskState.STARTED and task.run == run.run:
            task.state = TaskState.WAITING
            step_run.waiting.add(run.task.position)
            state.last_failed_on[run.task] = upstream.id
            state.dirty_jobs.add(run.task.job)
            state.log_decision(
                "task-copied",
                run.task,
                run.run,
                upstream=upstream.id,
                reason="upstream silent",
            )


def withdraw_copy(state: SchedulerState, run: Run) -> None:
    """Let a run count again that its upstream still lists, if no copy has started."""
    job_run = state.jobs.get(run.task.job)
    found = job_run.find_task(run.task) if job_run else None
    if found is None or not found[0].step.may_run_twice:
        return
    step_run, task = found
    if task.state is TaskState.WAITING and task.run == run.run:
        task.state = TaskState.STARTED
        step_run.waiting.discard(run.task.position)
        state.dirty_jobs.add(run.task.job)


def is_superseded(state: SchedulerState, run: Run) -> bool:
    """Return whether another run of the same task counts, or it is done."""
    job_run = state.jobs.get(run.task.job)
    found = job_run.find_task(run.task) if job_run else None
    if found is None or not found[0].step.may_run_twice:
        return False
    task = found[1]
    return task.state is TaskState.DONE or task.run > run.run
