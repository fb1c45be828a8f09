"""Tell how the latest run of a long-running task was lost.

Load pattern: several owners follow one another while an upstream is away. Only the age
of the run, its losses and the silence of its upstream tell for which of the possible
reasons its task waits.
"""

import math

from ..jobs import Task, TaskId
from ._lost_run import LostRun
from ._open_tasks import find_open_task
from ._state import SchedulerState
from ._upstream import Run, Upstream
from ._wait_bound import WaitBound
from ._wait_inputs import WaitInputs


def keep_lost_run(
    state: SchedulerState, upstream: Upstream, run: Run, now: float
) -> None:
    """Keep what the log tells of a lost run of a long-running task."""
    if run.is_lasting:
        state.waits.lost_run_by_task[run.task] = _describe_run(upstream, run, now)


def forget_replaced_runs(state: SchedulerState) -> None:
    """Forget lost runs of tasks that were started again or whose job has ended."""
    lost_run_by_task = state.waits.lost_run_by_task
    for task_id, lost in list(lost_run_by_task.items()):
        task = find_open_task(state, task_id)
        is_apart = task_id.job in state.apart_by_id
        if not is_apart and (task is None or task.run != lost.number):
            del lost_run_by_task[task_id]


def describe_wait(
    state: SchedulerState,
    task_id: TaskId,
    task: Task | None,
    bound: WaitBound | None,
    now: float,
) -> WaitInputs:
    """Return what the log tells of a waiting task; `task` is its progress, if any."""
    task = task or Task()
    lost = _find_latest_run(state, task_id, task, now)
    seen_at = lost.seen_at if lost else None
    return WaitInputs(
        run_seconds=_rounded(lost.age_seconds if lost else None),
        is_restored=lost.is_restored if lost else None,
        losses=len(task.losses),
        late_losses=len(state.late_losses.losses_by_task.get(task_id, ())),
        suspects=len(state.suspects.held_until),
        trials=state.waits.trial_count,
        silent_seconds=_rounded(None if seen_at is None else now - seen_at),
        ends_in_seconds=_rounded(bound.ends_at - now if bound else None),
        since=bound.since if bound else None,
        renewed_in_epoch=bound.epoch if bound else None,
    )


def was_lost_before_takeover(
    state: SchedulerState, task_id: TaskId, task: Task
) -> bool:
    """Return whether an earlier owner noted that the latest run was lost."""
    kept = state.waits.lost_run_by_task.get(task_id)
    if kept is not None and kept.number == task.run:
        return False
    return any(loss.run == task.run for loss in task.losses)


def _find_latest_run(
    state: SchedulerState, task_id: TaskId, task: Task, now: float
) -> LostRun | None:
    upstream = state.upstreams.get(task.upstream)
    run = upstream.runs.get(task_id) if upstream else None
    if upstream is not None and run is not None and run.number == task.run:
        return _describe_run(upstream, run, now)
    kept = state.waits.lost_run_by_task.get(task_id)
    if kept is not None and kept.number == task.run:
        return kept
    if was_lost_before_takeover(state, task_id, task):
        return LostRun(task.run, None, is_restored=True, seen_at=None)
    # It was never started, or its latest run ended otherwise.
    return None


def _describe_run(upstream: Upstream, run: Run, now: float) -> LostRun:
    if run.is_of_earlier_incarnation:
        # It ended before the new incarnation was found.
        lost_at = upstream.added_at
    else:
        since = upstream.unreachable_since
        lost_at = now if since is None else since
    return LostRun(
        run.number,
        # A restored run counts from the takeover, which is not its age.
        None if run.is_restored else lost_at - run.started_at,
        run.is_restored,
        upstream.last_seen_at if math.isfinite(upstream.last_seen_at) else None,
    )


def _rounded(seconds: float | None) -> float | None:
    return None if seconds is None else round(seconds, 3)
