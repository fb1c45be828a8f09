"""Count lost runs against their tasks, and give up tasks that crash upstreams.

Load pattern: a task crashes the upstream that starts it, within milliseconds, and the
tasks that run there are lost with it. Runs that had settled are not suspected, and all
suspects but one run again to their end.
"""

import math

from ..crashes import is_deadly
from ..jobs import JobState, RunLoss, Task, TaskId, TaskState
from ._late_crashes import (
    clear_outlived,
    confirm_late_losses,
    find_late_causes,
    may_be_late_cause,
    note_late_loss,
    withdraw_late_losses,
)
from ._lost_upstream import RETENTION_SECONDS, LostUpstream, has_outside_cause
from ._open_tasks import find_open_task
from ._state import SchedulerState
from ._step_run import StepRun
from ._trials import is_held
from ._upstream import Run, Upstream, run_name
from ._wait_bound import WaitBound
from ._wait_evidence import describe_wait, keep_lost_run

# The list of instances may show an upstream as up for this long after it has crashed.
LISTING_LAG_SECONDS = 1.0
# An owner that finds a trial of an earlier one lost within this time of its start takes
# it for lost by its start. Includes the difference of two clocks.
MAX_UNSEEN_SECONDS = 1.5
# At most this many lost runs of a task are kept.
MAX_LOSSES = 8
# At most this many labels are kept with each.
MAX_PLACE_LABELS = 8
# At most this many of the runs on a lost upstream are named in the log.
MAX_NAMED_RUNS = 20


def observe_loss(state: SchedulerState, upstream: Upstream, now: float) -> LostUpstream:
    """Return what was lost with an upstream; the first call decides."""
    known = state.lost_upstreams.get(upstream.id)
    if known is not None and known.incarnation == upstream.entry.incarnation:
        return known
    unsettled = [r for r in upstream.runs.values() if not upstream.is_settled(r)]
    # Nothing else is started beside a trial, and the other runs had settled before it.
    trials = [run for run in unsettled if run.is_trial]
    since = upstream.unreachable_since
    lost = LostUpstream(
        upstream.id,
        upstream.entry.incarnation,
        now if since is None else since,
        frozenset(run.task for run in trials or unsettled),
        tuple(run_name(run) for run in upstream.runs.values())[:MAX_NAMED_RUNS],
        sum(
            run.needs.cpu_millis / 1000 * max(0.0, now - run.started_at)
            for run in upstream.runs.values()
        ),
        bool(trials),
        upstream.entry.pool,
        was_seen=math.isfinite(upstream.last_seen_at),
        seen_at=upstream.last_seen_at,
    )
    state.lost_upstreams[upstream.id] = lost
    return lost


def note_lost_run(
    state: SchedulerState, upstream: Upstream, run: Run, now: float
) -> None:
    """Count a lost run against its task if it may have crashed its upstream."""
    keep_lost_run(state, upstream, run, now)
    if upstream.entry.is_draining or upstream.has_order:
        return
    job_run = state.jobs.get(run.task.job)
    found = job_run.find_task(run.task) if job_run else None
    lost = observe_loss(state, upstream, now)
    if job_run is None or found is None or job_run.state.is_final():
        return
    step_run, task = found
    if (
        task.state is TaskState.DONE
        # Its loss was noted before a later run began, which may have cleared the task.
        or task.run > run.number
        or any(loss.run == run.number for loss in task.losses)
        or _is_known_to_be_up(state, lost)
    ):
        return
    instance = state.instance_by_upstream.get(upstream.id, "")
    if run.task not in lost.suspects:
        if may_be_late_cause(run, lost):
            labels = place_labels(state, upstream)
            note_late_loss(state, run, lost, instance, labels, now)
        return
    unix_ms = round((now + state.unix_offset_seconds) * 1000)
    ended_at = _end_of_run(state, run, task, lost)
    # Another owner may have seen it settle and not have recorded that.
    is_young = not run.is_restored or was_just_tried(task, unix_ms)
    loss = RunLoss(
        run.number,
        lost.upstream,
        lost.incarnation,
        instance,
        _count_suspects(step_run, run.task, lost) if is_young else 0,
        is_started=run.was_seen and is_young,
        labels=place_labels(state, upstream),
        lost_ms=round((ended_at + state.unix_offset_seconds) * 1000),
        is_start_doubtful=not run.was_seen and (run.is_restored or run.needs_stop),
    )
    task.losses = [*task.losses, loss][-MAX_LOSSES:]
    state.unrecorded_lost_starts.append(run.start_ms)
    state.suspects.add(
        run.task, upstream.id, ended_at, len(task.losses), run.is_lasting
    )
    state.dirty_jobs.add(run.task.job)
    bound = None
    if is_held(state, step_run, run.task.position, now):
        bound = WaitBound(
            state.suspects.end_of_hold(run.task, task.losses, run.is_lasting), "loss"
        )
    state.log_decision(
        "run-lost",
        run.task,
        run.number,
        upstream=upstream.id,
        incarnation=lost.incarnation,
        reason=f"suspects: {loss.suspects}",
        beside=lost.runs,
        wait=describe_wait(state, run.task, task, bound, now),
    )


def was_just_tried(task: Task, unix_ms: int) -> bool:
    """Return whether a trial that is lost by now, in Unix ms, had just been started.

    `losses` of the task are those of the runs before it.
    """
    # Clocks differ, so that the start may seem to be the later one.
    age_ms = abs(unix_ms - task.start_ms)
    return bool(task.losses) and age_ms <= MAX_UNSEEN_SECONDS * 1000


def place_labels(state: SchedulerState, upstream: Upstream) -> tuple[str, ...]:
    """Return the labels of an upstream that may tell where it is.

    Those that all upstreams have tell nothing, unless it has no others.
    """
    labels = upstream.entry.labels
    common = labels.intersection(*(u.entry.labels for u in state.upstreams.values()))
    return tuple(sorted(labels - common or labels)[:MAX_PLACE_LABELS])


def confirm_crash(state: SchedulerState, upstream_id: str, now: float) -> None:
    """Apply the news that an upstream has crashed."""
    upstream = state.upstreams.get(upstream_id)
    if upstream is not None:
        lost = observe_loss(state, upstream, now)
        for run in list(upstream.runs.values()):
            note_lost_run(state, upstream, run, now)
    else:
        known = state.lost_upstreams.get(upstream_id)
        if known is None:
            # Its losses were recorded by an earlier owner.
            known = LostUpstream(upstream_id, 0, now, frozenset(), (), 0.0, False)
        lost = known
    is_outside = has_outside_cause(lost, list(state.lost_upstreams.values()))
    lost.is_back = True
    state.log_crash(lost, is_outside)
    confirm_late_losses(state, lost)
    for task_id in state.suspects.tasks_lost_with(upstream_id):
        found = find_open_task(state, task_id)
        if found is None:
            state.suspects.remove(task_id)
        elif is_outside:
            _drop_losses(state, task_id, found, upstream_id, "crashed with others")
        else:
            for loss in found.losses:
                loss.is_crash |= loss.upstream == upstream_id
            state.dirty_jobs.add(task_id.job)
            if is_deadly(found.losses):
                _give_up(state, task_id, found, found.losses)


def give_up_late_causes(state: SchedulerState) -> None:
    """Give up the tasks that are shown to crash upstreams after they have settled."""
    for task_id in find_late_causes(state):
        found = find_open_task(state, task_id)
        if found is not None:
            losses = state.late_losses.losses_by_task[task_id]
            _give_up(state, task_id, found, losses)


def mark_down(state: SchedulerState, upstream_id: str, now: float) -> None:
    """Apply the news that an upstream's instance is down, for an unknown reason."""
    upstream = state.upstreams.get(upstream_id)
    if upstream is not None and not (
        upstream.is_reachable or upstream.entry.is_draining or upstream.has_order
    ):
        observe_loss(state, upstream, now).is_down = True


def withdraw_losses(
    state: SchedulerState,
    upstream_id: str,
    reason: str,
    incarnation: int | None = None,
) -> None:
    """Drop the losses with an upstream, for whose end there is another reason.

    With `incarnation`, drop only those with this one.
    """
    withdraw_late_losses(state, upstream_id, reason, incarnation)
    for task_id in state.suspects.tasks_lost_with(upstream_id):
        found = find_open_task(state, task_id)
        if found is None:
            state.suspects.remove(task_id)
        else:
            _drop_losses(state, task_id, found, upstream_id, reason, incarnation)


def withdraw_loss_of_run(
    state: SchedulerState, task_id: TaskId, run: int, upstream_id: str
) -> None:
    """Drop the loss of a run that was never started on an upstream, if it is noted."""
    found = find_open_task(state, task_id) if task_id in state.suspects else None
    if found is not None and any(loss.run == run for loss in found.losses):
        _drop_losses(state, task_id, found, upstream_id, "its run was never started")


def withdraw_losses_of_listed(state: SchedulerState) -> None:
    """Drop the losses with upstreams that are still listed as up."""
    names = state.suspects.upstreams() + state.late_losses.upstreams()
    for upstream_id in names:
        lost = state.lost_upstreams.get(upstream_id)
        if lost is not None and _is_known_to_be_up(state, lost):
            del state.lost_upstreams[upstream_id]
            withdraw_losses(state, upstream_id, "unreachable, but up")


def clear_settled(state: SchedulerState, upstream: Upstream) -> None:
    """Clear suspects whose latest run has settled on an upstream."""
    clear_outlived(state, upstream)
    for task_id in list(state.suspects.held_until):
        run = upstream.runs.get(task_id)
        found = find_open_task(state, task_id)
        if run is None or found is None or run.number != found.run:
            continue
        if upstream.is_settled(run):
            clear_suspect(state, task_id, found)


def clear_suspect(state: SchedulerState, task_id: TaskId, task: Task) -> None:
    """Forget the losses of a task that has run without a crash."""
    if not task.losses:
        return
    task.losses = []
    state.suspects.remove(task_id)
    state.dirty_jobs.add(task_id.job)
    state.log_decision("suspect-cleared", task_id, task.run, upstream=task.upstream)


def forget_old_losses(state: SchedulerState, now: float) -> None:
    """Forget lost upstreams of which there was no news for long."""
    for upstream_id, lost in list(state.lost_upstreams.items()):
        if now - lost.lost_at > RETENTION_SECONDS:
            del state.lost_upstreams[upstream_id]


def _is_known_to_be_up(state: SchedulerState, lost: LostUpstream) -> bool:
    return (
        lost.upstream in state.listed_up
        and state.listed_at - lost.lost_at > LISTING_LAG_SECONDS
    )


def _count_suspects(step_run: StepRun, task: TaskId, lost: LostUpstream) -> int:
    if not step_run.step.is_gang:
        return len(lost.suspects)
    # The tasks of a gang start and fail together.
    return 1 + sum(other[:3] != task[:3] for other in lost.suspects)


def _end_of_run(
    state: SchedulerState, run: Run, task: Task, lost: LostUpstream
) -> float:
    """Return from when a task is held; only long-running ones need the earliest."""
    if not run.is_lasting or (run.is_restored and not task.start_ms):
        return lost.lost_at
    if not run.is_restored:
        return lost.end_of_run(run.started_at)
    # The takeover tells nothing of its end, but a run that had not settled may have
    # ended at its start.
    return lost.end_of_run(task.start_ms / 1000 - state.unix_offset_seconds)


def _drop_losses(
    state: SchedulerState,
    task_id: TaskId,
    task: Task,
    upstream_id: str,
    reason: str,
    incarnation: int | None = None,
) -> None:
    kept = [
        loss
        for loss in task.losses
        if loss.upstream != upstream_id or incarnation not in (None, loss.incarnation)
    ]
    has_changed = len(kept) < len(task.losses)
    task.losses = kept
    if not any(loss.upstream == upstream_id for loss in kept):
        state.suspects.remove_loss(task_id, upstream_id)
    if not task.losses:
        state.suspects.remove(task_id)
    if not has_changed:
        return
    state.dirty_jobs.add(task_id.job)
    state.log_decision(
        "loss-withdrawn", task_id, task.run, upstream=upstream_id, reason=reason
    )


def _give_up(
    state: SchedulerState, task_id: TaskId, task: Task, losses: list[RunLoss]
) -> None:
    crashes = [loss for loss in losses if loss.is_crash]
    names = ", ".join(f"{loss.upstream} ({loss.incarnation})" for loss in crashes)
    reason = f"a task crashed upstreams {names}"
    state.log_decision("task-given-up", task_id, task.run, reason=reason)
    state.suspects.remove_job(task_id.job)
    state.finish_job(state.jobs[task_id.job], JobState.FAILED, reason)
    # The other suspects of these crashes are not the cause.
    for loss in crashes:
        lost = state.lost_upstreams.get(loss.upstream)
        if lost is not None:
            lost.is_explained = True
        withdraw_losses(state, loss.upstream, f"caused by a task of {task_id.job}")
