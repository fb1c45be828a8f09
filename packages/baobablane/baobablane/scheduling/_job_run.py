"""Track the progress of a scheduled job."""

from collections.abc import Iterator

from ..jobs import Job, JobProgress, JobState, Task, TaskId, TaskState
from ._step_run import StepRun


class JobRun:
    """Track the steps of the occurrences of a job that have become due."""

    def __init__(self, job: Job, progress: JobProgress | None, added_at: float) -> None:
        """Start a job, or resume it from its recorded progress."""
        self.job = job
        self.state = progress.state if progress else JobState.PENDING
        self.added_at = added_at
        self.steps: dict[tuple[int, int], StepRun] = {}
        self._opened = 0
        self.declared_critical_path_ms = self._critical_path_ms(done=frozenset())
        for key, task in (progress.tasks if progress else {}).items():
            occurrence, step, index = map(int, key.split("."))
            self._open_until(occurrence + 1)
            self.steps[(occurrence, step)].restore(index, task)

    def occurrences(self) -> int:
        """Return the number of occurrences of the job."""
        return max(1, self.job.occurrences)

    def open_due_occurrences(self, unix_ms: int) -> None:
        """Create the steps of the occurrences that have become due."""
        while (
            self._opened < self.occurrences()
            and self.job.due_ms(self._opened) <= unix_ms
        ):
            self._open_until(self._opened + 1)

    def next_due_ms(self) -> int | None:
        """Return the next occurrence's due time in Unix ms, or None after the last."""
        if self._opened >= self.occurrences():
            return None
        return self.job.due_ms(self._opened)

    def startable_steps(self) -> Iterator[StepRun]:
        """Yield the steps that have waiting tasks and whose predecessors are done."""
        for step_run in self.steps.values():
            if step_run.waiting and self._are_predecessors_done(step_run):
                yield step_run

    def is_complete(self) -> bool:
        """Return whether every task of every occurrence is done."""
        return self._opened >= self.occurrences() and all(
            step_run.is_done() for step_run in self.steps.values()
        )

    def find_task(self, task: TaskId) -> tuple[StepRun, Task] | None:
        """Return a task's step and progress, or None if the job has no such task."""
        step_run = self.steps.get((task.occurrence, task.step))
        if step_run is None or not 0 <= task.position < step_run.step.count:
            return None
        return step_run, step_run.task(task.position)

    def progress(self) -> JobProgress:
        """Return the job's progress in the form in which it is recorded.

        Every entry instance reads each record, so it contains only what an owner needs
        to resume the job: no tasks of an ended job, and few details of done tasks.
        """
        if self.state.is_final():
            return JobProgress(self.state)
        tasks = {
            f"{occurrence}.{step}.{index}": _recorded_task(task)
            for (occurrence, step), step_run in self.steps.items()
            for index, task in step_run.tasks.items()
            if task.run
        }
        return JobProgress(self.state, tasks)

    def declared_core_seconds(self) -> float:
        """Return one occurrence's declared core-seconds, except long-running tasks."""
        return sum(
            step.count * step.needs.cpu_millis * step.estimated_ms / 1e6
            for step in self.job.steps
            if not step.is_lasting
        )

    def remaining_core_seconds(self) -> float:
        """Return the declared core-seconds of unfinished tasks, except long-running."""
        return sum(
            (run.step.count - run.done)
            * run.step.needs.cpu_millis
            * run.step.estimated_ms
            / 1e6
            for run in self.steps.values()
            if not run.step.is_lasting
        )

    def lasting_cores(self) -> float:
        """Return the cores of the long-running tasks; fillers need none."""
        return sum(
            run.step.count * run.step.needs.cpu_millis / 1000
            for run in self.steps.values()
            if run.step.is_lasting and not run.step.is_filler
        )

    def latest_due_ms(self) -> int:
        """Return the due time of the latest open occurrence, in Unix ms."""
        return self.job.due_ms(max(0, self._opened - 1))

    def remaining_critical_path_ms(self) -> int:
        """Return the declared time, in ms, of the longest chain of unfinished steps.

        Only the latest open occurrence counts.
        """
        last = max(0, self._opened - 1)
        done = frozenset(
            number
            for (occurrence, number), step_run in self.steps.items()
            if occurrence == last and step_run.is_done()
        )
        return self._critical_path_ms(done)

    def _critical_path_ms(self, done: frozenset[int]) -> int:
        longest: dict[int, int] = {}
        for number, step in enumerate(self.job.steps):
            own_ms = 0 if number in done else step.estimated_ms
            before_ms = max((longest.get(n, 0) for n in step.after), default=0)
            longest[number] = before_ms + own_ms
        return max(longest.values(), default=0)

    def _are_predecessors_done(self, step_run: StepRun) -> bool:
        return all(
            self.steps[(step_run.occurrence, predecessor)].is_done()
            for predecessor in step_run.step.after
        )

    def _open_until(self, occurrences: int) -> None:
        for occurrence in range(self._opened, occurrences):
            for number in range(len(self.job.steps)):
                key = (occurrence, number)
                self.steps[key] = StepRun(self.job, occurrence, number)
        self._opened = max(self._opened, occurrences)


def _recorded_task(task: Task) -> Task:
    if task.state is TaskState.DONE:
        return Task(TaskState.DONE, task.run)
    return task
