"""Begin to track jobs, and resume those on which work raised an error."""

from copy import copy

from ..jobs import Job, JobProgress, check_job
from ._event import SchedulingEvent
from ._incarnations import restore_losses, restore_run
from ._job_retry import JobRetry
from ._job_run import JobRun
from ._reconciliation import complete_if_done
from ._state import SchedulerState


def take_in(
    state: SchedulerState,
    job: Job,
    progress: JobProgress | None,
    now: float,
    previous: JobRun | None = None,
) -> None:
    """Track a job from its progress; `previous` is its tracking before an error.

    If that raises an error, the job is set apart: a job is stored, so an error that
    ended this owner would end each later one too.
    """
    try:
        check_job(job)
        job_run = JobRun(job, progress, now)
        if previous is None:
            _count_arrival(state, job_run, now)
        else:
            job_run.added_at = previous.added_at
            job_run.size_class = previous.size_class
            job_run.is_kept_in_time = previous.is_kept_in_time
        state.jobs[job.id] = job_run
        if job_run.state.is_final():
            state.final_jobs.add(job.id)
        if progress:
            _restore_runs(state, job_run, now)
            complete_if_done(state, job_run, now)
    except Exception as error:
        # The record that was read belongs to the views.
        known = copy(progress) if progress else JobProgress()
        followed = state.jobs.get(job.id, previous)
        state.set_apart_unchanged(job, known, error, followed)


def resume_jobs(state: SchedulerState, now: float) -> None:
    """Resume the jobs that were set apart long enough ago."""
    for job_id, retry in state.retry_by_job.items():
        if job_id in state.jobs and retry.is_news(now):
            retry.is_logged = True
            state.events.append(SchedulingEvent("job-resumed", job_id))
    for job_id, apart in list(state.apart_by_id.items()):
        if apart.is_final():
            continue
        retry = state.retry_by_job.setdefault(job_id, JobRetry())
        if apart.retry_at is None:
            apart.retry_at = retry.begin_wait(now)
        elif now >= apart.retry_at:
            retry.resume(now)
            del state.apart_by_id[job_id]
            take_in(state, apart.job, apart.progress, now, apart.job_run)
            state.check_stops_of(job_id)


def _count_arrival(state: SchedulerState, job_run: JobRun, now: float) -> None:
    job = job_run.job
    state.standings.record_arrival(job)
    pool = state.pool_of(job_run)
    core_seconds = job.declared_core_seconds()
    state.arrived_core_seconds[pool] += core_seconds
    state.arrived_squares[pool] += core_seconds**2
    if not job_run.is_lasting and not job.is_periodic():
        job_run.size_class = state.size_classes.add_job(job.queue, core_seconds, now)


def _restore_runs(state: SchedulerState, job_run: JobRun, now: float) -> None:
    for step_run in job_run.steps.values():
        for index in step_run.started_indexes():
            task_id, task = step_run.task_id(index), step_run.tasks[index]
            upstream = state.upstreams.get(task.upstream)
            # The runs of a job that was set apart have been followed all the time.
            if upstream is None or task_id not in upstream.runs:
                restore_run(state, task_id, task, now)
        restore_losses(state, step_run, now)
