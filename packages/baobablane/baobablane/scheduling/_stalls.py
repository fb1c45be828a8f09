"""Detect stalled runs, and decide which runs to stop."""

from ._open_tasks import find_open_task
from ._reconciliation import READY_PERCENT
from ._speculation import is_superseded
from ._state import SchedulerState
from ._upstream import Run, Upstream


def detect_stalls(state: SchedulerState, upstream: Upstream, now: float) -> None:
    """Mark stalled runs to be stopped, and count them against the upstream."""
    for run in upstream.runs.values():
        if _is_stalled(state, run, now):
            run.is_stalled = True
            state.count_stall(upstream, run, now)


def should_stop(state: SchedulerState, run: Run) -> bool:
    """Return whether a run is unwanted, stalled or evicted."""
    job_run = state.jobs.get(run.task.job)
    if job_run is None:
        apart = state.apart_by_id.get(run.task.job)
        # A start of unknown outcome keeps all others away from its upstream until it
        # is stopped.
        return apart is None or apart.is_final() or run.needs_stop
    if job_run.state.is_final() or job_run.find_task(run.task) is None:
        return True
    return (
        run.needs_stop or run.is_stalled or run.is_evicted or is_superseded(state, run)
    )


def may_still_arrive(state: SchedulerState, run: Run, now: float) -> bool:
    """Return whether a start with an unknown outcome may still be carried out."""
    late_order_seconds = state.policy.late_order_seconds
    return (
        run.confirmed_at is None
        and now - run.started_at < late_order_seconds
        and now - state.last_message_loss_at < late_order_seconds
    )


def _is_stalled(state: SchedulerState, run: Run, now: float) -> bool:
    # A throttled run is slow because of a pace order.
    if run.is_stalled or run.confirmed_at is None or run.pace_percent < READY_PERCENT:
        return False
    # A restored run was confirmed by the takeover, which tells nothing of its progress.
    begun_at = 0.0 if run.is_restored else run.confirmed_at
    stalled_seconds = now - max(run.percent_changed_at, begun_at)
    policy = state.policy
    if run.is_lasting:
        return (
            run.percent < READY_PERCENT
            and stalled_seconds > policy.lasting_start_seconds
        )
    if stalled_seconds <= max(
        policy.stall_seconds, policy.stall_fraction * run.declared_seconds
    ):
        return False
    task = find_open_task(state, run.task)
    # If it stalled on several upstreams, the task itself is slow.
    return task is None or task.stalls < policy.max_stalls
