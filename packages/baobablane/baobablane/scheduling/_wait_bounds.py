"""Find the bound that holds a long-running task, and from when on it counts."""

from ._late_crashes import held_indexes
from ._stalls import may_still_arrive
from ._state import SchedulerState
from ._step_run import StepRun
from ._suspects import SuspectTable
from ._trials import is_held
from ._upstream import Run, Upstream
from ._wait_bound import WaitBound

# The events from which bounds count.
TAKEOVER = "takeover"
RENEWAL = "last renewal"
EARLIER_RENEWAL = "renewal by an earlier owner"
RESTART = "restart"
START = "start"
MESSAGE_LOSS = "lost message"
LOSS = "loss"


def find_bound(
    state: SchedulerState, step_run: StepRun, index: int, now: float
) -> WaitBound | None:
    """Return the bound that holds a task that nothing runs, or None."""
    task_id = step_run.task_id(index)
    if index not in step_run.waiting:
        upstream = state.upstreams.get(step_run.task(index).upstream)
        run = upstream.runs.get(task_id) if upstream else None
        if upstream is None or run is None:
            return None
        if may_still_arrive(state, run, now):
            return _bound_of_start(state, run)
        return _bound_of_lease(state, upstream)
    if task_id in state.suspects:
        if not is_held(state, step_run, index, now):
            return None
        return _bound_of_hold(state, state.suspects, step_run, [index])
    held = held_indexes(state, step_run, now)
    if index not in held:
        return None
    # A member of a gang waits for the others.
    return _bound_of_hold(state, state.late_losses, step_run, sorted(held))


def _bound_of_start(state: SchedulerState, run: Run) -> WaitBound:
    # Both have to be recent, so the wait is over with the first of them.
    begin = min(run.started_at, state.last_message_loss_at)
    if begin < run.started_at:
        since = MESSAGE_LOSS
    else:
        since = TAKEOVER if run.is_restored else START
    return WaitBound(begin + state.policy.late_order_seconds, since)


def _bound_of_lease(state: SchedulerState, upstream: Upstream) -> WaitBound:
    ends_at = upstream.latest_lease_expiry(state.policy.unknown_lease_seconds)
    if ends_at == upstream.earlier_lease_until:
        since = RESTART
    else:
        since = RENEWAL if ends_at == upstream.own_lease_expiry() else TAKEOVER
    inherited = upstream.inherited_lease
    if inherited is not None and ends_at == inherited.expires_at:
        return WaitBound(ends_at, EARLIER_RENEWAL, inherited.epoch)
    return WaitBound(ends_at, since)


def _bound_of_hold(
    state: SchedulerState, table: SuspectTable, step_run: StepRun, indexes: list[int]
) -> WaitBound | None:
    losses_by_id = {
        task_id: (
            step_run.task(task_id.position).losses
            if table is state.suspects
            else state.late_losses.losses_by_task[task_id]
        )
        for task_id in map(step_run.task_id, indexes)
        if task_id in table
    }
    if not losses_by_id:
        return None
    end_by_id = {
        task_id: table.end_of_hold(task_id, losses, step_run.step.is_lasting)
        for task_id, losses in losses_by_id.items()
    }
    latest = max(end_by_id, key=lambda task_id: end_by_id[task_id])
    losses = losses_by_id[latest]
    # Owners of earlier versions recorded losses without their time.
    since = LOSS if table is state.late_losses or losses[-1].lost_ms else TAKEOVER
    return WaitBound(end_by_id[latest], since)
