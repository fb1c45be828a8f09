"""Begin to track jobs."""

from ..jobs import Job, JobProgress, check_job
from ._incarnations import restore_losses, restore_run
from ._job_run import JobRun
from ._reconciliation import complete_if_done
from ._state import SchedulerState


def take_in(
    state: SchedulerState,
    job: Job,
    progress: JobProgress | None,
    now: float,
) -> None:
    """Track a job from its progress.

    If that raises an error, the job is set apart: a job is stored, so an error that
    ended this owner would end each later one too.
    """
    try:
        check_job(job)
        job_run = JobRun(job, progress, now)
        _count_arrival(state, job_run, now)
        state.jobs[job.id] = job_run
        if job_run.state.is_final():
            state.final_jobs.add(job.id)
        if progress:
            _restore_runs(state, job_run, now)
            complete_if_done(state, job_run, now)
    except Exception as error:
        known = progress or JobProgress()
        state.set_apart_unchanged(job, known, error, state.jobs.get(job.id))


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
            restore_run(state, task_id, task, now)
        restore_losses(state, step_run, now)
