"""Judge which runs hang, and which must be stopped."""

from ._copies import is_superseded
from ._ends import AT_WORK_PERCENT
from ._state import SchedulerState
from ._upstream import Run, Upstream


def judge_progress(state: SchedulerState, upstream: Upstream, now: float) -> None:
    """Stop and blame the runs that stand still."""
    for run in upstream.runs.values():
        if _is_stalled(state, run, now):
            run.is_stalled = True
            state.blame_stall(upstream, run, now)


def should_stop(state: SchedulerState, run: Run) -> bool:
    """Return whether a run is of no use, hangs or is to move."""
    job_run = state.jobs.get(run.task.job)
    if job_run is None or job_run.state.is_final():
        return True
    return (
        run.needs_stop or run.is_stalled or run.is_evicted or is_superseded(state, run)
    )


def may_still_arrive(state: SchedulerState, run: Run, now: float) -> bool:
    """Return whether a start without an answer may still be carried out."""
    bound = state.bounds.late_order
    return (
        run.settled_at is None
        and now - run.started_at < bound
        and now - state.orders_lost_at < bound
    )


def _is_stalled(state: SchedulerState, run: Run, now: float) -> bool:
    if run.is_stalled or run.settled_at is None or run.pace < AT_WORK_PERCENT:
        return False
    still = now - max(run.percent_since, run.settled_at)
    bounds = state.bounds
    if run.is_lasting:
        return run.percent < AT_WORK_PERCENT and still > bounds.lasting_start
    if state.stalls.get(run.task, 0) >= bounds.most_stalls:
        # It stood still wherever it ran, so it is slow by itself.
        return False
    return still > max(bounds.stall, bounds.stall_part * run.declared_seconds)
