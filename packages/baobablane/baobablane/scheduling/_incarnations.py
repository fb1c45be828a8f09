"""Keep track of runs when an owner takes over or an upstream restarts."""

from ..deployment import NO_RESOURCES, UpstreamEntry
from ..jobs import Task, TaskId
from ._state import SchedulerState
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
    is_same_incarnation = upstream.entry.incarnation == task.incarnation
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
    )
    state.add_run(run, upstream, now)


def replace_incarnation(
    state: SchedulerState, previous: Upstream, entry: UpstreamEntry, now: float
) -> None:
    """Replace an upstream by its new incarnation; keep its runs until it reports."""
    # The new incarnation may have carried out a start already, or may still do so.
    # Its first report therefore decides which of the runs exist.
    replacement = Upstream(entry, now)
    for task in list(previous.runs):
        run = previous.remove(task)
        if run is not None:
            replacement.add(run)
    state.upstreams[entry.id] = replacement


def _add_unlisted(state: SchedulerState, task: Task, now: float) -> Upstream:
    # Its entry may have expired during an outage of the store while it kept running.
    entry = UpstreamEntry(
        task.upstream, "", "", "", task.incarnation, NO_RESOURCES, frozenset(), True
    )
    upstream = Upstream(entry, now, is_listed=False)
    state.upstreams[task.upstream] = upstream
    return upstream
