"""Apply an upstream's report of what runs and what has ended."""

from ..jobs import JobState, Task, TaskId, TaskState
from ._copies import take_back_copy
from ._report import EndedRun, EndReason, HoldReport, RunningRow
from ._state import SchedulerState
from ._step_run import StepRun
from ._upstream import Run, Upstream

AT_WORK_PERCENT = 100


def apply_report(
    state: SchedulerState,
    upstream: Upstream,
    report: HoldReport,
    asked_at: float,
    now: float,
) -> None:
    """Apply a report that was asked for at a time; later answers may overtake it."""
    upstream.is_answering = True
    for ended in report.ended:
        if ended.number > upstream.applied_end:
            upstream.applied_end = ended.number
            _apply_end(state, upstream, ended, now)
    listed = {row.task for row in report.running}
    upstream.strays = {}
    for row in report.running:
        _apply_row(state, upstream, row, now)
    for task, run in list(upstream.runs.items()):
        if task in listed:
            continue
        if run.settled_at is None:
            if run.uncertain_at is not None and run.uncertain_at < asked_at:
                run.needs_stop = True
                state.orders_lost_at = now
        elif run.settled_at < asked_at:
            state.requeue(upstream, task, "not-listed")


def _apply_row(
    state: SchedulerState, upstream: Upstream, row: RunningRow, now: float
) -> None:
    run = upstream.runs.get(row.task)
    if run is None or run.run != row.run:
        upstream.strays[row.task] = row.run
        return
    if run.settled_at is None and run.uncertain_at is not None:
        run.uncertain_at = None
        run.settled_at = now
        state.orders_lost_at = now
    if run.is_lasting and row.percent >= AT_WORK_PERCENT > run.percent:
        state.ejections.record_success(upstream.id)
    if row.percent != run.percent:
        run.percent = row.percent
        run.percent_since = now
    run.measure = row.measure
    take_back_copy(state, run)
    job_run = state.jobs.get(row.task.job)
    found = job_run.find(row.task) if job_run else None
    if found is not None and row.checkpoint:
        found[1].checkpoint = row.checkpoint


def _apply_end(
    state: SchedulerState, upstream: Upstream, ended: EndedRun, now: float
) -> None:
    run = upstream.runs.get(ended.task)
    if run is not None and run.run == ended.run:
        _judge_upstream(state, upstream, run, ended, now)
        state.release(upstream, ended.task)
    job_run = state.jobs.get(ended.task.job)
    found = job_run.find(ended.task) if job_run else None
    if job_run is None or found is None:
        return
    step_run, task = found
    state.note(
        "task-ended",
        ended.task,
        ended.run,
        upstream=upstream.id,
        reason=ended.reason.value,
        age=now - run.started_at if run else 0.0,
    )
    if task.state is TaskState.DONE or not _counts(step_run, task, ended):
        return
    if ended.checkpoint:
        task.checkpoint = ended.checkpoint
    state.dirty.add(ended.task.job)
    if ended.reason is EndReason.DONE and not step_run.step.is_lasting:
        _finish_task(step_run, ended.task, task)
        if job_run.is_complete():
            state.settle(job_run, JobState.COMPLETED, "all tasks done")
        return
    if ended.reason is EndReason.FAILED:
        _apply_failure(state, upstream, step_run, ended, task)
    if task.run != ended.run:
        return
    if task.state is TaskState.STARTED:
        task.state = TaskState.WAITING
        step_run.waiting.add(ended.task.position)


def _counts(step_run: StepRun, task: Task, ended: EndedRun) -> bool:
    # The first copy that finishes counts, and so does each copy's failure.
    return task.run == ended.run or step_run.step.may_run_twice


def _judge_upstream(
    state: SchedulerState, upstream: Upstream, run: Run, ended: EndedRun, now: float
) -> None:
    if ended.reason is EndReason.DONE:
        state.ejections.record_success(upstream.id)
    elif ended.reason is EndReason.FAILED and state.blame(upstream, now):
        state.note("upstream-ejected", run.task, run.run, upstream=upstream.id)


def _finish_task(step_run: StepRun, task_id: TaskId, task: Task) -> None:
    if not step_run.step.is_gang:
        task.state = TaskState.DONE
        step_run.waiting.discard(task_id.position)
        step_run.done += 1
        return
    # One end stands for the whole gang.
    for index in range(step_run.step.count):
        step_run.task(index).state = TaskState.DONE
    step_run.waiting.clear()
    step_run.done = step_run.step.count


def _apply_failure(
    state: SchedulerState,
    upstream: Upstream,
    step_run: StepRun,
    ended: EndedRun,
    task: Task,
) -> None:
    if task.failed_run >= ended.run:
        return
    task.failed_run = ended.run
    task.failures += 1
    state.failed_on[ended.task] = upstream.id
    if step_run.step.is_lasting:
        return
    queue = state.configuration.queues_by_name.get(step_run.job.queue)
    if queue is not None and task.failures >= queue.max_attempts:
        state.settle(
            state.jobs[ended.task.job], JobState.FAILED, f"{task.failures} failed runs"
        )
