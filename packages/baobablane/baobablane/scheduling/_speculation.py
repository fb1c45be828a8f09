"""Start copies of tasks that may run twice, and decide which run counts.

Load pattern: a rack becomes unreachable in the middle of a burst. Its tasks may keep
running until their leases expire, which takes longer than most objectives allow; a task
that may run twice therefore starts elsewhere before they expire.
"""

from ..jobs import TaskState
from ._crash_evidence import note_lost_run
from ._state import SchedulerState
from ._upstream import Run, Upstream


def allow_copies(state: SchedulerState, upstream: Upstream, now: float) -> None:
    """Let tasks of an unreachable upstream start elsewhere if they may run twice.

    The resources of the earlier runs count as used until the runs have certainly ended.
    """
    for run in upstream.runs.values():
        job_run = state.jobs.get(run.task.job)
        found = job_run.find_task(run.task) if job_run else None
        if found is None or not found[0].step.may_run_twice:
            continue
        step_run, task = found
        if task.state is TaskState.STARTED and task.run == run.number:
            note_lost_run(state, upstream, run, now)
            task.state = TaskState.WAITING
            step_run.waiting.add(run.task.position)
            state.last_failed_on[run.task] = upstream.id
            state.dirty_jobs.add(run.task.job)
            state.log_decision(
                "task-copied",
                run.task,
                run.number,
                upstream=upstream.id,
                reason="upstream unreachable",
            )


def withdraw_copy(state: SchedulerState, run: Run) -> None:
    """Cancel the copy of a run that its upstream still lists, unless it has started."""
    job_run = state.jobs.get(run.task.job)
    found = job_run.find_task(run.task) if job_run else None
    if found is None or not found[0].step.may_run_twice:
        return
    step_run, task = found
    if task.state is TaskState.WAITING and task.run == run.number:
        task.state = TaskState.STARTED
        step_run.waiting.discard(run.task.position)
        state.dirty_jobs.add(run.task.job)


def is_superseded(state: SchedulerState, run: Run) -> bool:
    """Return whether a later run replaces this one, or its task is done without it."""
    job_run = state.jobs.get(run.task.job)
    found = job_run.find_task(run.task) if job_run else None
    if found is None:
        return False
    step_run, task = found
    if step_run.step.may_run_twice:
        return task.state is TaskState.DONE or task.run > run.number
    # Members of a gang that is done end by themselves.
    return task.state is TaskState.DONE and run.number > task.run
