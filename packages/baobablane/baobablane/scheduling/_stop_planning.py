"""Decide which stops to send now.

Load pattern: thousands of tasks run while few of them have to be stopped. Only
upstreams on which something has changed are checked.
"""

from ..jobs import TaskId
from ._job_run import JobRun
from ._orders import StopOrder
from ._stalls import should_stop
from ._state import SchedulerState
from ._upstream import Run, Upstream


def plan_stops(state: SchedulerState, now: float) -> list[StopOrder]:
    """Return the stops to send now, including those that are due to be repeated."""
    orders: list[StopOrder] = []
    for upstream in state.upstreams.values():
        orders += [
            StopOrder(task, run, upstream.id)
            for task, run in upstream.orphan_runs.items()
            if not _is_not_followed(state, task)
        ]
        upstream.orphan_runs = {}
        if upstream.may_need_stops:
            orders += _plan_stops_on(state, upstream, now)
    return orders


def _is_not_followed(state: SchedulerState, task: TaskId) -> bool:
    """Return whether an error has kept this owner from following a job's runs."""
    apart = state.apart_by_id.get(task.job)
    return apart is not None and apart.job_run is None and not apart.is_final()


def _plan_stops_on(
    state: SchedulerState, upstream: Upstream, now: float
) -> list[StopOrder]:
    orders: list[StopOrder] = []
    upstream.may_need_stops = False
    for run in upstream.runs.values():
        if should_stop(state, run):
            # The stop is repeated until the run is known to have ended.
            upstream.may_need_stops = True
            if _is_stop_due(state, run, now) and not _may_end_work(
                state, upstream, run
            ):
                run.stop_sent_at = now
                orders.append(StopOrder(run.task, run.number, upstream.id))
    return orders


def _may_end_work(state: SchedulerState, upstream: Upstream, run: Run) -> bool:
    """Return whether a first stop may end a late start that the step can't miss.

    Load pattern: an upstream leaves orders unanswered and carries them out late. The
    stop that settles a start may arrive after it, and ends a task at work while others
    of its step are away. After the deadline of the start, it no longer begins: a report
    after that lists it, and it goes on, or the stop ends nothing.
    """
    if not run.needs_stop or run.stop_sent_at is not None:
        return False
    if run.start_deadline_ms is None or upstream.lease is None:
        return False
    job_run = state.jobs.get(run.task.job)
    if job_run is None or job_run.state.is_final():
        return False
    may_miss = job_run.job.steps[run.task.step].may_miss
    if not may_miss or _count_others_away(state, job_run, run) < may_miss:
        return False
    return upstream.lease.read_clock_ms <= run.start_deadline_ms


def _count_others_away(state: SchedulerState, job_run: JobRun, run: Run) -> int:
    """Return how many other tasks of a run's step are not known to be at work."""
    step_run = job_run.find_step(run.task)
    if step_run is None:
        return 0
    away = step_run.step.count - 1
    for index in step_run.started_indexes():
        task_id = step_run.task_id(index)
        upstream = state.upstreams.get(step_run.task(index).upstream)
        other = upstream.runs.get(task_id) if upstream else None
        if (
            task_id != run.task
            and upstream is not None
            and other is not None
            and upstream.is_reachable
            and other.was_seen
            and other.stop_sent_at is None
        ):
            away -= 1
    return away


def _is_stop_due(state: SchedulerState, run: Run, now: float) -> bool:
    sent = run.stop_sent_at
    return sent is None or now - sent >= state.policy.stop_retry_seconds
