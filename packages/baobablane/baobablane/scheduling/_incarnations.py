"""Keep track of runs when an owner takes over or an upstream restarts."""

from ..deployment import NO_RESOURCES, UpstreamEntry
from ..jobs import RunLoss, Task, TaskId
from ._crash_evidence import (
    confirm_crash,
    place_labels,
    was_just_tried,
    withdraw_losses,
)
from ._known_settling import had_settled
from ._lease_tracker import KILL_SECONDS, SLOWEST_CLOCK_RATE
from ._state import SchedulerState
from ._step_run import StepRun
from ._suspects import MAX_HOLD_SECONDS
from ._upstream import Run, Upstream


def restore_run(state: SchedulerState, task_id: TaskId, task: Task, now: float) -> None:
    """Add a run that is recorded as started."""
    upstream = state.upstreams.get(task.upstream)
    if upstream is None:
        upstream = _add_unlisted(state, task, now)
    job_run = state.jobs[task_id.job]
    found = job_run.find_task(task_id)
    if found is None:
        return
    step = found[0].step
    is_settled = had_settled(state.settled_ms, task)
    state.latest_start_ms = max(state.latest_start_ms, task.start_ms)
    if is_settled:
        # The earlier owner had cleared it, which may not be recorded.
        task.losses = []
    is_same_incarnation = upstream.entry.incarnation == task.incarnation
    if upstream.entry.incarnation > task.incarnation and not is_settled:
        _note_crash_before_takeover(
            task, upstream.entry.incarnation, place_labels(state, upstream)
        )
    run = Run(
        task_id,
        task.run,
        step.needs,
        job_run.job.account,
        step.is_lasting,
        step.is_filler,
        now,
        step.estimated_ms / 1000,
        confirmed_at=now if is_same_incarnation else None,
        needs_stop=not is_same_incarnation,
        percent_changed_at=now,
        target_ms=step.target_ms,
        is_trial=bool(task.losses),
        is_restored=True,
        start_ms=task.start_ms,
        had_settled=is_settled,
    )
    if not is_same_incarnation:
        _expect_earlier_lease(state, upstream, run, now)
    state.add_run(run, upstream, now)
    state.dirty_jobs.add(task_id.job)


def restore_losses(state: SchedulerState, step_run: StepRun, now: float) -> None:
    """Suspect the tasks again that an earlier owner suspected."""
    for index, task in step_run.tasks.items():
        for loss in task.losses:
            state.suspects.add(
                step_run.task_id(index),
                loss.upstream,
                now - _age_seconds(state, loss, now),
                len(task.losses),
                step_run.step.is_lasting,
            )


def _age_seconds(state: SchedulerState, loss: RunLoss, now: float) -> float:
    if not loss.lost_ms:
        # An earlier version recorded it without its time.
        return 0.0
    seconds = now + state.unix_offset_seconds - loss.lost_ms / 1000
    # Unix clocks jump. That shortens this hold at most, and lengthens none.
    return min(max(0.0, seconds), MAX_HOLD_SECONDS)


def _note_crash_before_takeover(
    task: Task, restarted_ms: int, labels: tuple[str, ...]
) -> None:
    # It restarted under its id while nobody watched. Only a trial that had just begun
    # tells which run was the cause.
    if not any(loss.run == task.run for loss in task.losses):
        loss = RunLoss(
            task.run,
            task.upstream,
            task.incarnation,
            suspects=1 if was_just_tried(task, restarted_ms) else 0,
            is_crash=True,
            labels=labels,
            lost_ms=restarted_ms,
            is_start_doubtful=True,
        )
        task.losses = [*task.losses, loss]


def replace_incarnation(
    state: SchedulerState, previous: Upstream, entry: UpstreamEntry, now: float
) -> None:
    """Replace an upstream by its new incarnation; keep its runs until it reports."""
    if previous.entry.is_draining or previous.has_order:
        withdraw_losses(state, previous.id, "its end was ordered or announced")
    else:
        confirm_crash(state, previous.id, now)
    # The new incarnation may have carried out a start already, or may still do so.
    # Its first report therefore decides which of the runs exist.
    replacement = Upstream(
        entry,
        now,
        began_after_contact=previous.lease is not None,
        may_grant_lease=previous.may_grant_lease,
    )
    for task in list(previous.runs):
        run = previous.remove(task)
        if run is not None:
            if run.confirmed_at is not None and not run.was_seen:
                # Only the earlier incarnation confirmed that it rejects a late start.
                run.confirmed_at, run.needs_stop = None, True
            run.start_deadline_ms = None
            _expect_earlier_lease(state, replacement, run, now)
            replacement.add(run)
    state.upstreams[entry.id] = replacement


def _expect_earlier_lease(
    state: SchedulerState, upstream: Upstream, run: Run, now: float
) -> None:
    """Allow for a start that was carried out by the deadline of another clock.

    The clock of a new incarnation begins anew, so only the limit of all leases counts.
    """
    run.is_of_earlier_incarnation = True
    lease_seconds = state.policy.max_lease_seconds / SLOWEST_CLOCK_RATE + KILL_SECONDS
    upstream.earlier_lease_until = now + lease_seconds


def _add_unlisted(state: SchedulerState, task: Task, now: float) -> Upstream:
    # Its entry may have expired during an outage of the store while it kept running.
    entry = UpstreamEntry(
        task.upstream, "", "", "", task.incarnation, NO_RESOURCES, frozenset(), False
    )
    return state.add_upstream(entry, now, is_listed=False)
