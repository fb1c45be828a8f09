"""Reconcile the scheduler's state with an upstream's report of its runs."""

from ..jobs import JobState, Task, TaskId, TaskState
from ._crash_evidence import clear_suspect
from ._job_run import JobRun
from ._report import EndedRun, EndReason, RenewalReport, RunningTask
from ._speculation import withdraw_copy
from ._state import SchedulerState
from ._step_run import StepRun
from ._upstream import Run, Upstream
from ._urgency import USELESS_MULTIPLE

# A long-running task reports this progress once it is ready.
READY_PERCENT = 100
# One that an earlier owner started gets at least this long from its first report: it
# may be unready for a moment.
RESTORED_START_SECONDS = 1.5


def apply_report(
    state: SchedulerState,
    upstream: Upstream,
    report: RenewalReport,
    requested_at: float,
    now: float,
) -> None:
    """Apply a report; it does not cover runs confirmed after `requested_at`."""
    upstream.is_reachable = True
    for ended in report.ended:
        if ended.end_number > upstream.applied_end:
            upstream.applied_end = ended.end_number
            try:
                _apply_end(state, upstream, ended, now)
            except Exception as error:
                state.set_apart(ended.task.job, error)
                _apply_end_apart(state, upstream, ended)
    listed = {row.task for row in report.running} | report.unreadable_tasks
    upstream.orphan_runs = {}
    for row in report.running:
        try:
            _apply_running(state, upstream, row, now)
        except Exception as error:
            state.set_apart(row.task.job, error)
    if report.has_all_ends:
        _apply_absence(state, upstream, listed, requested_at, now)
    elif not upstream.has_hidden_ends:
        state.log_truncated_report(upstream, len(report.ended))
    upstream.has_hidden_ends = not report.has_all_ends
    if not any(run.is_of_earlier_incarnation for run in upstream.runs.values()):
        upstream.earlier_lease_until = float("-inf")


def _apply_absence(
    state: SchedulerState,
    upstream: Upstream,
    listed: set[TaskId],
    requested_at: float,
    now: float,
) -> None:
    """Apply that all other runs are neither running nor have ends to be reported."""
    for task, run in list(upstream.runs.items()):
        if task in listed:
            continue
        if run.confirmed_at is None:
            if run.unknown_since is not None and run.unknown_since < requested_at:
                run.needs_stop = True
                state.last_message_loss_at = now
        elif run.confirmed_at < requested_at:
            state.requeue(upstream, task, "not-listed")


def _apply_running(
    state: SchedulerState, upstream: Upstream, row: RunningTask, now: float
) -> None:
    run = upstream.runs.get(row.task)
    if run is None or run.number != row.run:
        upstream.orphan_runs[row.task] = row.run
        return
    run.was_seen = True
    state.note_begun(row.task.job)
    if run.confirmed_at is None and run.unknown_since is not None:
        run.unknown_since = None
        run.confirmed_at = now
        state.last_message_loss_at = now
        if run.stop_sent_at is None:
            # It was started late, and nothing that is on its way ends it.
            run.needs_stop = False
    if run.is_lasting and row.percent >= READY_PERCENT > run.percent:
        state.ejections.record_success(upstream.id)
    if row.percent != run.percent:
        run.percent_changed_at = _progress_counts_from(state, run, now)
        run.percent = row.percent
    run.tail_ms_or_cpu_millis = row.tail_ms_or_cpu_millis
    withdraw_copy(state, run)
    job_run = state.jobs.get(row.task.job)
    found = job_run.find_task(row.task) if job_run else None
    if found is not None:
        found[0].note_checkpoint(found[1], row.checkpoint)


def _progress_counts_from(state: SchedulerState, run: Run, now: float) -> float:
    """Return from when a run has to make progress that shows a new percentage.

    A long-running task has to be ready some time after its start, whoever owns then.
    """
    if not (run.is_lasting and run.is_restored and run.start_ms and run.percent < 0):
        return now
    started_at = run.start_ms / 1000 - state.unix_offset_seconds
    earliest = now - state.policy.lasting_start_seconds + RESTORED_START_SECONDS
    return min(now, max(started_at, earliest))


def _apply_end(
    state: SchedulerState, upstream: Upstream, ended: EndedRun, now: float
) -> None:
    run = upstream.runs.get(ended.task)
    if run is not None and run.number == ended.run:
        _update_health(state, upstream, run, ended, now)
        state.remove_run(upstream, ended.task)
    job_run = state.jobs.get(ended.task.job)
    found = job_run.find_task(ended.task) if job_run else None
    if found is not None or ended.task.job in state.apart_by_id:
        state.log_decision(
            "task-ended",
            ended.task,
            ended.run,
            upstream=upstream.id,
            reason=ended.reason.value,
            age_seconds=now - run.started_at if run else 0.0,
        )
    if job_run is None or found is None:
        _apply_end_apart(state, upstream, ended)
        return
    state.note_begun(ended.task.job)
    step_run, task = found
    if task.state is TaskState.DONE or not _is_relevant_end(step_run, task, ended):
        return
    if ended.reason in (EndReason.DONE, EndReason.FAILED):
        clear_suspect(state, ended.task, task)
        state.late_losses.remove(ended.task)
    step_run.note_checkpoint(task, ended.checkpoint)
    state.dirty_jobs.add(ended.task.job)
    if ended.reason is EndReason.DONE and not step_run.step.is_lasting:
        is_late = task.run != ended.run
        if is_late:
            _log_late_end(state, ended, task)
        _finish_task(step_run, ended)
        if is_late or step_run.step.may_run_twice or step_run.step.is_gang:
            # Other runs of the task, or of the gang, may have to be stopped.
            state.check_stops_of(ended.task.job)
        job_run.close_ended_occurrences()
        if job_run.is_complete():
            _complete_job(state, job_run, now)
        return
    if ended.reason is EndReason.FAILED:
        _apply_failure(state, upstream, step_run, ended, task)
    if task.run != ended.run:
        return
    if task.state is TaskState.STARTED:
        task.state = TaskState.WAITING
        step_run.waiting.add(ended.task.position)


def _apply_end_apart(
    state: SchedulerState, upstream: Upstream, ended: EndedRun
) -> None:
    """Apply the end of a run if its job is set apart.

    The end may have been applied in part when the error was raised.
    """
    apart = state.apart_by_id.get(ended.task.job)
    if apart is None:
        return
    run = upstream.runs.get(ended.task)
    if run is not None and run.number == ended.run:
        state.remove_run(upstream, ended.task)
    task = apart.note_end(ended)
    if task is None:
        return
    state.dirty_jobs.add(ended.task.job)
    is_lasting = apart.job.steps[ended.task.step].is_lasting
    if not is_lasting and state.is_out_of_attempts(apart.job, task.failures):
        state.finish_apart(apart, JobState.FAILED, f"{task.failures} failed runs")


def complete_if_done(state: SchedulerState, job_run: JobRun, now: float) -> None:
    """Complete a job of which all tasks are known to be done, unless it has ended."""
    if job_run.is_complete() and not job_run.state.is_final():
        _complete_job(state, job_run, now)


def _is_relevant_end(step_run: StepRun, task: Task, ended: EndedRun) -> bool:
    # For a task that may run twice, the first copy to finish completes the task, and
    # the failure of either copy counts.
    if task.run == ended.run or step_run.step.may_run_twice:
        return True
    # An upstream was taken to be gone and a later run begun, but the work was done.
    return (
        ended.reason is EndReason.DONE
        and ended.run < task.run
        and not step_run.step.is_lasting
    )


def _log_late_end(state: SchedulerState, ended: EndedRun, task: Task) -> None:
    state.log_decision(
        "run-not-needed",
        ended.task,
        task.run,
        upstream=task.upstream,
        reason=f"run {ended.run} had ended as done",
    )


def _update_health(
    state: SchedulerState, upstream: Upstream, run: Run, ended: EndedRun, now: float
) -> None:
    if ended.reason is EndReason.DONE:
        _learn_run_time(state, upstream, run, now)
        state.ejections.record_success(upstream.id)
    elif ended.reason is EndReason.FAILED and state.count_failure(upstream, now):
        state.log_decision(
            "upstream-ejected", run.task, run.number, upstream=upstream.id
        )


def _complete_job(state: SchedulerState, job_run: JobRun, now: float) -> None:
    outcome = ""
    due_ms = state.due_ms(job_run)
    if due_ms is not None and not job_run.is_lasting:
        unix_ms = (now + state.unix_offset_seconds) * 1000
        useless_ms = due_ms + (USELESS_MULTIPLE - 1.0) * (
            due_ms - job_run.latest_due_ms()
        )
        if unix_ms <= due_ms:
            outcome = "in-time"
        else:
            outcome = "late" if unix_ms <= useless_ms else "useless"
            if job_run.is_kept_in_time:
                state.size_classes.count_missed(job_run.job.queue, job_run.size_class)
    state.finish_job(job_run, JobState.COMPLETED, "all tasks done", outcome)


def _learn_run_time(
    state: SchedulerState, upstream: Upstream, run: Run, now: float
) -> None:
    """Learn from a first run that this owner started and that nothing slowed down."""
    job_run = state.jobs.get(run.task.job)
    if (
        job_run is None
        or run.number != 1
        or run.is_restored
        or run.is_lasting
        or run.is_filler
    ):
        return
    queue = job_run.job.queue
    image = job_run.job.steps[run.task.step].image
    seconds = now - run.started_at
    expected_seconds = run.declared_seconds * state.run_times.ratio(queue, image)
    state.speeds.observe(upstream.entry.pool, upstream.id, seconds, expected_seconds)
    state.run_times.observe(queue, image, seconds, run.declared_seconds)


def _finish_task(step_run: StepRun, ended: EndedRun) -> None:
    if not step_run.step.is_gang:
        step_run.finish(ended.task.position, ended.run)
        return
    # One finished task completes the whole gang.
    for index in range(step_run.step.count):
        step_run.finish(index, ended.run)


def _apply_failure(
    state: SchedulerState,
    upstream: Upstream,
    step_run: StepRun,
    ended: EndedRun,
    task: Task,
) -> None:
    if task.failed_run >= ended.run:
        # Counted before, possibly by a previous owner, or older than a counted failure.
        return
    task.failed_run = ended.run
    task.failures += 1
    state.last_failed_on[ended.task] = upstream.id
    if step_run.step.is_lasting:
        return
    if state.is_out_of_attempts(step_run.job, task.failures):
        state.finish_job(
            state.jobs[ended.task.job], JobState.FAILED, f"{task.failures} failed runs"
        )
