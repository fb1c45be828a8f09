"""Apply the results of starts."""

from ._crash_evidence import withdraw_loss_of_run
from ._orders import StartOrder, StartResult
from ._state import SchedulerState
from ._upstream import Upstream

_REQUEUE_REASONS = {
    StartResult.NO_ROOM: "no-room",
    StartResult.OLD_RUN: "old-run",
    StartResult.LATE: "late-order",
    StartResult.REFUSED: "refused",
    StartResult.MALFORMED: "malformed",
    StartResult.OTHER_INCARNATION: "other-incarnation",
    StartResult.NO_TICKET: "no-ticket",
    StartResult.FENCED: "fenced",
    StartResult.NOT_SENT: "not-sent",
}


def apply_start_result(
    state: SchedulerState, order: StartOrder, result: StartResult, now: float
) -> None:
    """Apply the result of a start, unless its run is no longer the one it started."""
    if result not in (StartResult.STARTED, StartResult.UNKNOWN):
        # The upstream may have been found to be gone before the start was sent.
        withdraw_loss_of_run(state, order.task, order.run, order.upstream)
    upstream = state.upstreams.get(order.upstream)
    run = upstream.runs.get(order.task) if upstream else None
    if upstream is None or run is None or run.number != order.run:
        return
    state.log_decision(
        "start-answered",
        order.task,
        order.run,
        upstream=order.upstream,
        reason=result.name.lower(),
        age_seconds=now - run.started_at,
    )
    if result is StartResult.STARTED:
        run.confirmed_at = now
        run.was_seen = True
        upstream.last_seen_at = now
        state.note_begun(order.task.job)
    elif result is StartResult.UNKNOWN:
        run.unknown_since = now
        upstream.is_reachable = False
    else:
        _apply_rejection(state, upstream, order, result, now)


def _apply_rejection(
    state: SchedulerState,
    upstream: Upstream,
    order: StartOrder,
    result: StartResult,
    now: float,
) -> None:
    if result is StartResult.NO_ROOM:
        upstream.no_starts_until = now + state.policy.start_backoff_seconds
    elif result in (StartResult.REFUSED, StartResult.MALFORMED):
        upstream.no_starts_until = now + state.policy.start_backoff_seconds
        state.count_failure(upstream, now)
    elif result in (StartResult.OTHER_INCARNATION, StartResult.NOT_SENT):
        upstream.is_reachable = False
    state.requeue(upstream, order.task, _REQUEUE_REASONS[result])
