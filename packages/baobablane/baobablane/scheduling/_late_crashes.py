"""Count crashes under runs that had settled, and find the task that causes them.

Load pattern: a task crashes each upstream seconds after its start. By then dozens of
others run there, and many of them have started since. Those are cleared in trials, or
end, and each crash hits other ones; only the cause is lost in all of them. Upstreams
that go down together, and crashes whose cause is found, count for nobody, and nobody is
the cause in a pool whose upstreams crash for another reason. An owner counts only what
it has seen.
"""

from collections import Counter

from ..crashes import MIN_LATE_CRASHES, is_late_cause
from ..jobs import RunLoss, TaskId
from ._lost_upstream import LostUpstream, is_lost_with_others
from ._open_tasks import find_open_task
from ._state import SchedulerState
from ._step_run import StepRun
from ._upstream import Run, Upstream
from ._wait_bound import WaitBound
from ._wait_evidence import describe_wait

# A task that has run for this long does not crash its upstream by its start.
LATE_CRASH_SECONDS = 10.0
# At most this many lost runs of a task are kept.
MAX_LATE_LOSSES = 8
# A task waits for the news of its crashes from this many losses on. A long-running one
# waits for less long each time, so that the first of them are known by the last start.
MIN_HELD_LOSSES = MIN_LATE_CRASHES
MIN_HELD_LASTING_LOSSES = MIN_LATE_CRASHES - 1


def may_be_late_cause(run: Run, lost: LostUpstream) -> bool:
    """Return whether a run that had settled may have crashed its upstream."""
    # Of a run that an earlier owner started, the age is not known.
    return (
        run.was_seen
        and not run.is_restored
        and lost.lost_at - run.started_at <= LATE_CRASH_SECONDS
    )


def note_late_loss(
    state: SchedulerState,
    run: Run,
    lost: LostUpstream,
    instance: str,
    labels: tuple[str, ...],
    now: float,
) -> None:
    """Count a lost run against its task; the first call for a run decides."""
    losses = state.late_losses.losses_by_task.get(run.task, [])
    if any(loss.run == run.number for loss in losses):
        return
    loss = RunLoss(
        run.number,
        lost.upstream,
        lost.incarnation,
        instance,
        is_started=True,
        labels=labels,
    )
    losses = [*losses, loss][-MAX_LATE_LOSSES:]
    state.late_losses.losses_by_task[run.task] = losses
    # The first hold is as long as that after two losses of runs that had just started.
    count = len(losses) - MIN_LATE_CRASHES + 2
    ended_at = lost.end_of_run(run.started_at) if run.is_lasting else lost.lost_at
    state.late_losses.add(run.task, lost.upstream, ended_at, count, run.is_lasting)
    bound = None
    if _is_held(state, run.task, now):
        ends_at = state.late_losses.end_of_hold(run.task, losses, run.is_lasting)
        bound = WaitBound(ends_at, "loss")
    task = find_open_task(state, run.task)
    state.log_decision(
        "run-lost-late",
        run.task,
        run.number,
        upstream=lost.upstream,
        incarnation=lost.incarnation,
        age_seconds=lost.lost_at - run.started_at,
        beside=lost.runs,
        wait=describe_wait(state, run.task, task, bound, now),
    )


def confirm_late_losses(state: SchedulerState, lost: LostUpstream) -> None:
    """Apply the news that an upstream has crashed."""
    if is_lost_with_others(lost, state.lost_upstreams.values()):
        withdraw_late_losses(state, lost.upstream, "crashed with others")
        return
    for task_id in state.late_losses.tasks_lost_with(lost.upstream):
        for loss in state.late_losses.losses_by_task[task_id]:
            loss.is_crash |= loss.upstream == lost.upstream


def withdraw_late_losses(
    state: SchedulerState,
    upstream_id: str,
    reason: str,
    incarnation: int | None = None,
) -> None:
    """Drop the losses with an upstream, or with one incarnation of it."""
    table = state.late_losses
    for task_id in table.tasks_lost_with(upstream_id):
        losses = table.losses_by_task[task_id]
        kept = [
            loss
            for loss in losses
            if loss.upstream != upstream_id
            or incarnation not in (None, loss.incarnation)
        ]
        if len(kept) == len(losses):
            continue
        table.losses_by_task[task_id] = kept
        if not any(loss.upstream == upstream_id for loss in kept):
            table.remove_loss(task_id, upstream_id)
        if not kept:
            table.remove(task_id)
        state.log_decision(
            "late-loss-withdrawn", task_id, upstream=upstream_id, reason=reason
        )


def clear_outlived(state: SchedulerState, upstream: Upstream) -> None:
    """Clear tasks whose latest run an upstream has outlived for long."""
    for task_id in state.late_losses.held_until.keys() & upstream.runs.keys():
        run = upstream.runs[task_id]
        task = find_open_task(state, task_id)
        if (
            task is not None
            and run.number == task.run
            and run.confirmed_at is not None
            and upstream.last_seen_at - run.confirmed_at > LATE_CRASH_SECONDS
        ):
            state.late_losses.remove(task_id)


def find_late_causes(state: SchedulerState) -> list[TaskId]:
    """Return the tasks that are shown to crash their upstreams."""
    candidates = [
        task_id
        for task_id in sorted(state.late_losses.held_until)
        if _is_candidate(state, task_id)
    ]
    if not candidates:
        return []
    explained = {name for task in candidates for name in _crashed(state, task)}
    unexplained = Counter(
        lost.pool
        for lost in state.lost_upstreams.values()
        if lost.is_back
        and not lost.is_explained
        and not lost.suspects
        and lost.upstream not in explained
    )
    return [
        task_id
        for task_id in candidates
        if 2 * unexplained[state.pool_of(state.jobs[task_id.job])]
        < len(_crashed(state, task_id))
    ]


def held_indexes(state: SchedulerState, step_run: StepRun, now: float) -> set[int]:
    """Return the waiting tasks that wait for news of the crashes under them.

    A gang starts together, so all its tasks wait for one of them.
    """
    if not state.late_losses.held_until:
        return set()
    held = {
        index
        for index in step_run.waiting
        if _is_held(state, step_run.task_id(index), now)
    }
    return set(step_run.waiting) if held and step_run.step.is_gang else held


def _is_held(state: SchedulerState, task_id: TaskId, now: float) -> bool:
    losses = state.late_losses.losses_by_task.get(task_id, [])
    is_lasting = state.jobs[task_id.job].job.steps[task_id.step].is_lasting
    return (
        len(losses) >= (MIN_HELD_LASTING_LOSSES if is_lasting else MIN_HELD_LOSSES)
        and state.late_losses.is_held(task_id, losses, is_lasting, now)
        and any(
            not loss.is_crash or state.suspects.tasks_lost_with(loss.upstream)
            for loss in losses
        )
    )


def _crashed(state: SchedulerState, task_id: TaskId) -> set[str]:
    """Return the upstreams that have crashed under a task."""
    losses = state.late_losses.losses_by_task[task_id]
    return {loss.upstream for loss in losses if loss.is_crash}


def _is_candidate(state: SchedulerState, task_id: TaskId) -> bool:
    """Return whether only this task was lost in all of the crashes under it."""
    if not is_late_cause(state.late_losses.losses_by_task[task_id]):
        return False
    crashed = _crashed(state, task_id)
    if any(state.suspects.tasks_lost_with(name) for name in crashed):
        # One that had just started may still turn out to be the cause.
        return False
    in_all = set.intersection(
        *(set(state.late_losses.tasks_lost_with(name)) for name in crashed)
    )
    is_gang = state.jobs[task_id.job].job.steps[task_id.step].is_gang
    return all(
        other == task_id or (is_gang and other[:3] == task_id[:3]) for other in in_all
    )
