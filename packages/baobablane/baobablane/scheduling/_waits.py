"""Log why long-running tasks don't run, and for how long.

Load pattern: hundreds of long-running tasks wait at once after a rack has lost power.
A few of them go on waiting beside free room, each for another reason.
"""

from collections.abc import Mapping

from ..jobs import TaskId
from ._event import SchedulingEvent
from ._job_run import JobRun
from ._late_crashes import held_indexes
from ._placement import has_room, may_run
from ._stalls import may_still_arrive
from ._state import SchedulerState
from ._step_run import StepRun
from ._trials import is_held
from ._upstream import Upstream
from ._wait_bounds import find_bound
from ._wait_evidence import describe_wait, forget_replaced_runs
from ._wait_table import Wait

# A task that has waited for this long is logged, and again at this interval, or as soon
# as the reason changes.
MIN_WAIT_SECONDS = 2.0
REPEAT_SECONDS = 5.0
CHECK_INTERVAL_SECONDS = 1.0
# Maximum number of lines of one check.
MAX_LINES = 50

HELD = "held for the news whether its upstreams crashed"
AWAITS_TRIAL = "suspected of a crash, waits for a trial"
# What the upstreams of a pool lack, from the first condition on.
STAGES = (
    "no upstream of its pool can run it",
    "its upstreams are unreachable, draining, cordoned or evacuated",
    "no room",
    "upstreams with room are kept for a trial or owe an answer",
    "no advice for upstreams with room",
)
LACKS_ADVICE = len(STAGES) - 1


def log_waits(state: SchedulerState, now: float) -> None:
    """Log the long-running tasks that have waited for some time, with the reason."""
    waits = state.waits
    if now - waits.checked_at < CHECK_INTERVAL_SECONDS:
        return
    waits.checked_at = now
    previous, waits.wait_by_task = waits.wait_by_task, {}
    lines = 0
    for job_id, job_run in state.jobs.items():
        if not job_run.is_lasting or job_run.state.is_final():
            continue
        try:
            for task, reason in _find_reasons(state, job_run, now).items():
                wait = waits.wait_by_task[task] = previous.get(task) or Wait(now)
                if lines < MAX_LINES and _is_due(wait, reason, now):
                    lines += 1
                    wait.reason, wait.logged_at = reason, now
                    _log_wait(state, job_run, task, wait, now)
        except Exception as error:
            # It only tells why the job's tasks wait, so work on the job goes on.
            _log_error(state, job_id, error, now)
    try:
        forget_replaced_runs(state)
    except Exception as error:
        _log_error(state, "", error, now)


def _log_error(
    state: SchedulerState, job_id: str, error: Exception, now: float
) -> None:
    if now - state.waits.error_logged_at >= REPEAT_SECONDS:
        state.waits.error_logged_at = now
        state.events.append(
            SchedulingEvent("waits-not-known", job_id, reason=repr(error))
        )


def _log_wait(
    state: SchedulerState, job_run: JobRun, task: TaskId, wait: Wait, now: float
) -> None:
    step_run = job_run.steps[(task.occurrence, task.step)]
    # A task that was never started has no progress, and must get none from this.
    progress = step_run.tasks.get(task.position)
    bound = find_bound(state, step_run, task.position, now) if progress else None
    state.log_decision(
        "task-waits",
        task,
        progress.run if progress else 0,
        upstream=progress.upstream if progress else "",
        reason=wait.reason,
        age_seconds=now - wait.since,
        wait=describe_wait(state, task, progress, bound, now),
    )


def _is_due(wait: Wait, reason: str, now: float) -> bool:
    is_news = reason != wait.reason or now - wait.logged_at >= REPEAT_SECONDS
    return is_news and now - wait.since >= MIN_WAIT_SECONDS


def _find_reasons(
    state: SchedulerState, job_run: JobRun, now: float
) -> dict[TaskId, str]:
    """Return the long-running tasks of a job that nothing runs, with the reasons."""
    reason_by_task: dict[TaskId, str] = {}
    for step_run in job_run.open_steps():
        if not step_run.step.is_lasting:
            continue
        # The same for all tasks of the step that are no suspects.
        shared_reason = ""
        for index in range(step_run.step.count):
            task = step_run.task_id(index)
            if index not in step_run.waiting:
                reason = _why_not_requeued(state, step_run, index, now)
            elif task in state.suspects:
                is_task_held = is_held(state, step_run, index, now)
                reason = HELD if is_task_held else AWAITS_TRIAL
            elif index in held_indexes(state, step_run, now):
                reason = HELD
            else:
                shared_reason = shared_reason or _why_not_started(state, step_run, now)
                reason = shared_reason
            if reason:
                reason_by_task[task] = reason
    return reason_by_task


def _why_not_requeued(
    state: SchedulerState, step_run: StepRun, index: int, now: float
) -> str:
    """Return why a task counts as started although its upstream is unreachable."""
    upstream = state.upstreams.get(step_run.task(index).upstream)
    run = upstream.runs.get(step_run.task_id(index)) if upstream else None
    if upstream is None or run is None or upstream.is_reachable:
        return ""
    if may_still_arrive(state, run, now):
        return "its start may still be carried out"
    return "the lease of its run is not over"


def _why_not_started(state: SchedulerState, step_run: StepRun, now: float) -> str:
    step = step_run.step
    if not state.allows_starts:
        return "the view of evacuations is too old"
    count = step.count if step.is_gang else 1
    if not state.usage.allows(step_run.job.account, step.needs.times(count)):
        return "its account is at its cap"
    return _why_no_upstream(state, step_run, now)


def _why_no_upstream(state: SchedulerState, step_run: StepRun, now: float) -> str:
    """Return what the upstream that is closest to taking a task lacks."""
    pool = state.pool_of(state.jobs[step_run.job.id])
    placed = step_run.placed_by_upstream()
    needs_advice = state.needs_advice(step_run)
    closest = 0
    for upstream in state.upstreams.values():
        if upstream.entry.pool != pool:
            continue
        stage = _stage(state, step_run, upstream, placed, now)
        closest = max(closest, stage)
        if stage == LACKS_ADVICE and (
            not needs_advice or state.advice.ticket(step_run.key(), upstream)
        ):
            return "room is kept for other tasks"
    return STAGES[closest]


def _stage(
    state: SchedulerState,
    step_run: StepRun,
    upstream: Upstream,
    placed: Mapping[str, int],
    now: float,
) -> int:
    """Return how far an upstream is from taking a task, as an index of `STAGES`."""
    step, entry = step_run.step, upstream.entry
    if not may_run(step, upstream, entry.capacity):
        return 0
    if not upstream.is_usable() or state.is_evacuated(upstream):
        return 1
    cpu_millis = 0 if step.is_filler else step.needs.cpu_millis
    if entry.capacity.cpu_millis - upstream.used.cpu_millis < cpu_millis:
        # Most upstreams of a full pool end here, before a copy is made.
        return 2
    if not has_room(step, upstream, placed):
        return 2
    if upstream.is_reserved or not upstream.accepts(now):
        return 3
    return LACKS_ADVICE
