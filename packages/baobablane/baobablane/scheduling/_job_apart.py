"""Hold what is known of a job on which work raised an error."""

from dataclasses import dataclass

from ..jobs import Job, JobProgress, JobState, Step, Task, TaskId, TaskState
from ._job_run import JobRun
from ._report import EndedRun, EndReason
from ._upstream import Run


@dataclass(slots=True)
class JobApart:
    """Hold a job that was set apart, with the progress from which it is resumed.

    Only tasks are kept and changed. All else that the job's tracking derives from them
    may be the result of work that was interrupted.
    """

    job: Job
    progress: JobProgress
    error: str
    # Its tracking until the error, unless the error came before that began.
    job_run: JobRun | None = None
    # When it is resumed; None until the next round.
    retry_at: float | None = None

    def is_final(self) -> bool:
        """Return whether the job has ended."""
        return self.progress.state.is_final()

    def recorded_progress(self) -> JobProgress:
        """Return the job's progress in the form in which it is recorded."""
        known = self.progress
        if known.state.is_final():
            return JobProgress(known.state)
        if known.state is JobState.PENDING and (
            known.first_open or any(map(_has_begun, known.tasks.values()))
        ):
            known.state = JobState.RUNNING
        return known

    def note_end(self, ended: EndedRun) -> Task | None:
        """Apply the end of a run, and return its task unless the end is irrelevant.

        Applying an end again changes nothing.
        """
        task = self._find(ended.task)
        if task is None or task.state is TaskState.DONE:
            return None
        step = self.job.steps[ended.task.step]
        is_done = ended.reason is EndReason.DONE and not step.is_lasting
        # A later run may have begun while the upstream was taken to be gone.
        is_late_end = is_done and ended.run < task.run
        if task.run != ended.run and not step.may_run_twice and not is_late_end:
            return None
        together = self._tasks_of_step(ended.task) if step.is_gang else [task]
        if ended.checkpoint:
            for other in together:
                other.checkpoint = ended.checkpoint
        if ended.reason in (EndReason.DONE, EndReason.FAILED):
            task.losses = []
        if is_done:
            for other in together:
                other.state = TaskState.DONE
                other.run = ended.run
            return task
        if ended.reason is EndReason.FAILED and task.failed_run < ended.run:
            task.failed_run = ended.run
            task.failures += 1
        if task.run == ended.run and task.state is TaskState.STARTED:
            task.state = TaskState.WAITING
        return task

    def note_lost_run(self, run: Run, upstream_id: str) -> bool:
        """Let a task wait whose run is certainly gone, and return whether it does."""
        task = self._find(run.task)
        if (
            task is None
            or task.state is not TaskState.STARTED
            or task.upstream != upstream_id
            or run.number not in (0, task.run)
        ):
            return False
        task.state = TaskState.WAITING
        return True

    def step_of(self, task: TaskId) -> Step | None:
        """Return the step of a task, or None if the job has no such step."""
        steps = self.job.steps
        return steps[task.step] if 0 <= task.step < len(steps) else None

    def _find(self, task: TaskId) -> Task | None:
        if self.step_of(task) is None:
            return None
        key = f"{task.occurrence}.{task.step}.{task.position}"
        return self.progress.tasks.get(key)

    def _tasks_of_step(self, task: TaskId) -> list[Task]:
        prefix = f"{task.occurrence}.{task.step}."
        tasks = self.progress.tasks
        return [other for key, other in tasks.items() if key.startswith(prefix)]


def _has_begun(task: Task) -> bool:
    """Return whether a record shows that an upstream has begun a task."""
    return bool(
        task.state is TaskState.DONE
        or task.failed_run
        or task.checkpoint
        or task.stalls
    )
