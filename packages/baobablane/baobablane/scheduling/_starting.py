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
    state.add_run(run, upstream, now)


def commit_starts(
    state: SchedulerState, step_run: StepRun, chosen: list[tuple[int, Upstream]]
) -> list[StartOrder]:
    """Return the orders for the reserved runs of a step."""
    runs = {index: step_run.task(index).run + 1 for index, _ in chosen}
    if step_run.step.is_gang and runs:
        # All tasks of a gang have the same run number.
        runs = dict.fromkeys(runs, max(runs.values()))
    return [
        _commit_start(state, step_run, index, runs[index], upstream)
        for index, upstream in chosen
    ]


def _commit_start(
    state: SchedulerState,
    step_run: StepRun,
    index: int,
    number: int,
    upstream: Upstream,
) -> StartOrder:
    task = step_run.task(index)
    task.state = TaskState.STARTED
    task.run = number
    task.upstream = upstream.id
    task.incarnation = upstream.entry.incarnation
    step_run.waiting.discard(index)
    task_id = step_run.task_id(index)
    run = upstream.runs[task_id]
    run.number = number
    event = "trial-placed" if run.is_trial else "task-placed"
    state.log_decision(event, task_id, task.run, upstream=upstream.id)
    return StartOrder(
        task_id,
        task.run,
        step_run.job.spec,
        task.checkpoint,
        upstream.id,
        task.incarnation,
        state.advice.ticket(step_run.key(), upstream),
    )
