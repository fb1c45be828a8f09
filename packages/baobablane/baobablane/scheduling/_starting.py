"""Reserve the room of runs, and turn reserved runs into start orders."""

from ..jobs import TaskState
from ._orders import StartOrder
from ._state import SchedulerState
from ._step_run import StepRun
from ._upstream import Run, Upstream


def reserve_run(
    state: SchedulerState,
    step_run: StepRun,
    index: int,
    upstream: Upstream,
    now: float,
    is_trial: bool = False,
) -> None:
    """Count a run on an upstream; it gets its number once it is committed."""
    job, step = step_run.job, step_run.step
    run = Run(
        step_run.task_id(index),
        0,
        step.needs,
        job.account,
        step.is_lasting,
        step.is_filler,
        now,
        step.estimated_ms / 1000,
        percent_changed_at=now,
        target_ms=step.target_ms,
        is_trial=is_trial,
    )
    state.unsent_tasks.add(run.task)
    state.add_run(run, upstream, now)


def commit_starts(
    state: SchedulerState, step_run: StepRun, chosen: list[tuple[int, Upstream]]
) -> list[StartOrder]:
    """Return the orders for the reserved runs of a step."""
    predicted_ms = _predicted_ms(state, step_run, chosen)
    runs = {index: step_run.task(index).run + 1 for index, _ in chosen}
    if step_run.step.is_gang and runs:
        # All tasks of a gang have the same run number.
        runs = dict.fromkeys(runs, max(runs.values()))
        # They wait for each other unless all resume from the same point.
        for index in runs:
            step_run.task(index).checkpoint = step_run.gang_checkpoint
    return [
        _commit_start(
            state, step_run, index, runs[index], upstream, 0 if number else predicted_ms
        )
        for number, (index, upstream) in enumerate(chosen)
    ]


def _predicted_ms(
    state: SchedulerState, step_run: StepRun, chosen: list[tuple[int, Upstream]]
) -> int:
    """Return when a job ends that begins now, or 0 if it has begun before."""
    job_run = state.jobs[step_run.job.id]
    if not chosen or job_run.is_lasting or job_run.has_begun():
        return 0
    run = chosen[0][1].runs[step_run.task_id(chosen[0][0])]
    now_ms = (run.started_at + state.unix_offset_seconds) * 1000
    return round(now_ms + job_run.work(state.run_times).remaining_path_ms)


def _commit_start(
    state: SchedulerState,
    step_run: StepRun,
    index: int,
    number: int,
    upstream: Upstream,
    predicted_ms: int,
) -> StartOrder:
    task = step_run.task(index)
    task.state = TaskState.STARTED
    task.run = number
    task.upstream = upstream.id
    task.incarnation = upstream.entry.incarnation
    step_run.waiting.discard(index)
    state.dirty_jobs.add(step_run.job.id)
    task_id = step_run.task_id(index)
    run = upstream.runs[task_id]
    run.number = number
    unix_ms = round((run.started_at + state.unix_offset_seconds) * 1000)
    task.start_ms = run.start_ms = max(unix_ms, state.told_settled_ms + 1)
    state.latest_start_ms = max(state.latest_start_ms, run.start_ms)
    event = "trial-placed" if run.is_trial else "task-placed"
    job_run = state.jobs[task_id.job]
    state.log_decision(
        event,
        task_id,
        task.run,
        upstream=upstream.id,
        account=step_run.job.account,
        queue=step_run.job.queue,
        group=job_run.group,
        position=job_run.position,
        predicted_ms=predicted_ms,
    )
    return StartOrder(
        task_id,
        task.run,
        step_run.job.spec,
        task.checkpoint,
        upstream.id,
        task.incarnation,
        state.advice.ticket(step_run.key(), upstream),
    )
