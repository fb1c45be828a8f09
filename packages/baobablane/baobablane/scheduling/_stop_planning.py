"""Decide which stops to send now.

Load pattern: thousands of tasks run while few of them have to be stopped. Only
upstreams on which something has changed are checked.
"""

from ..jobs import TaskId
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
            if _is_stop_due(state, run, now):
                run.stop_sent_at = now
                orders.append(StopOrder(run.task, run.number, upstream.id))
    return orders


def _is_stop_due(state: SchedulerState, run: Run, now: float) -> bool:
    sent = run.stop_sent_at
    return sent is None or now - sent >= state.policy.stop_retry_seconds
