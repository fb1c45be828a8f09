"""Track the progress of a scheduled job."""

from collections.abc import Iterator

from ..jobs import (
    MAX_TASKS_PER_OCCURRENCE,
    Job,
    JobProgress,
    JobState,
    Task,
    TaskId,
    TaskState,
)
from ._job_work import JobWork
from ._run_times import RunTimes
from ._step_run import StepRun

# No more occurrences are opened while more tasks than this would be open, so that the
# record of a job's progress stays as small as that of one occurrence.
MAX_OPEN_TASKS = MAX_TASKS_PER_OCCURRENCE


class JobRun:
    """Track the steps of the occurrences of a job that have become due."""

    def __init__(self, job: Job, progress: JobProgress | None, added_at: float) -> None:
        """Start a job, or resume it from its recorded progress."""
        self.job = job
        self.state = progress.state if progress else JobState.PENDING
        self.added_at = added_at
        self.steps: dict[tuple[int, int], StepRun] = {}
        # Occurrences before `_first_open` are done; from `_opened` on, none is open.
        self._first_open = progress.first_open if progress else 0
        self._opened = self._first_open
        self._tasks_per_occurrence = sum(step.count for step in job.steps)
        self.is_lasting = job.is_lasting()
        # Its size in comparison with other jobs of its queue.
        self.size_class = 0
        # Whether it began in time and has not become late since.
        self.is_kept_in_time = False
        # Whether room is reserved for it in this round, so that smaller tasks do not
        # use it up as soon as it is freed.
        self.may_reserve = False
        # Group of urgency, and number of jobs of its queue before it, in this round.
        self.group = ""
        self.position = 0
        # Its work as last measured, and what that depended on.
        self._work: JobWork | None = None
        self._measured_for: tuple[int, int, int, int] = (0, 0, 0, 0)
        for key, task in (progress.tasks if progress else {}).items():
            self._restore(key, task)
        self.close_ended_occurrences()

    def occurrences(self) -> int:
        """Return the number of occurrences of the job."""
        return max(1, self.job.occurrences)

    def open_due_occurrences(self, unix_ms: int) -> None:
        """Create the steps of the due occurrences, as far as MAX_OPEN_TASKS allows.

        At least one occurrence is open.
        """
        while (
            self._opened < self.occurrences()
            and self.job.due_ms(self._opened) <= unix_ms
            and self._may_open_another()
        ):
            self._open_until(self._opened + 1)

    def close_ended_occurrences(self) -> None:
        """Drop the steps of the leading occurrences of which every task is done."""
        while self._first_open < self._opened and all(
            self.steps[(self._first_open, number)].is_done()
            for number in range(len(self.job.steps))
        ):
            for number in range(len(self.job.steps)):
                del self.steps[(self._first_open, number)]
            self._first_open += 1

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

    def open_steps(self) -> Iterator[StepRun]:
        """Yield the steps whose predecessors are done."""
        return filter(self._are_predecessors_done, self.steps.values())

    def is_complete(self) -> bool:
        """Return whether every task of every occurrence is done."""
        return self._first_open >= self.occurrences()

    def find_step(self, task: TaskId) -> StepRun | None:
        """Return a task's step, or None if its occurrence is not open."""
        return self.steps.get((task.occurrence, task.step))

    def find_task(self, task: TaskId) -> tuple[StepRun, Task] | None:
        """Return a task's step and progress, or None if its occurrence is not open.

        Also return None if the job has no such task.
        """
        step_run = self.find_step(task)
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
        return self.open_progress()

    def open_progress(self) -> JobProgress:
        """Return the job's state with the started tasks of its open occurrences."""
        tasks = {
            f"{occurrence}.{step}.{index}": _recorded_task(task)
            for (occurrence, step), step_run in self.steps.items()
            for index, task in step_run.tasks.items()
            if task.run
        }
        return JobProgress(self.state, tasks, self._first_open)

    def has_begun(self) -> bool:
        """Return whether any task of the open occurrences was started."""
        for step_run in self.steps.values():  # noqa: SIM110
            if step_run.tasks:
                return True
        return False

    def work(self, run_times: RunTimes) -> JobWork:
        """Return the job's work by the learned run times."""
        done = 0
        for step_run in self.steps.values():
            done += step_run.done
        measured_for = (run_times.version, self._first_open, self._opened, done)
        if self._work is None or measured_for != self._measured_for:
            self._work = self._measure_work(run_times)
            self._measured_for = measured_for
        return self._work

    def unfinished_fraction(self) -> float:
        """Return the part of the unfinished tasks that is left to do.

        A running task counts as half done.
        """
        unfinished = waiting = 0
        for step_run in self.steps.values():
            unfinished += step_run.step.count - step_run.done
            waiting += len(step_run.waiting)
        return (unfinished + waiting) / (2 * unfinished) if unfinished else 0.0

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

    def _measure_work(self, run_times: RunTimes) -> JobWork:
        steps = self.job.steps
        ratios = [run_times.ratio(self.job.queue, step.image) for step in steps]
        last = max(0, self._opened - 1)
        done = frozenset(
            number
            for (occurrence, number), step_run in self.steps.items()
            if occurrence == last and step_run.is_done()
        )
        return JobWork(
            self._critical_path_ms(ratios, done=frozenset()),
            self._critical_path_ms(ratios, done),
            sum(
                (run.step.count - run.done)
                * run.step.needs.cpu_millis
                * run.step.estimated_ms
                * ratios[run.number]
                / 1e6
                for run in self.steps.values()
                if not run.step.is_lasting
            ),
        )

    def _critical_path_ms(self, ratios: list[float], done: frozenset[int]) -> float:
        longest: dict[int, float] = {}
        for number, step in enumerate(self.job.steps):
            own_ms = 0.0 if number in done else step.estimated_ms * ratios[number]
            before_ms = max((longest.get(n, 0.0) for n in step.after), default=0.0)
            longest[number] = before_ms + own_ms
        return max(longest.values(), default=0.0)

    def _are_predecessors_done(self, step_run: StepRun) -> bool:
        # Called for each waiting job in each round, so without a generator.
        for predecessor in step_run.step.after:  # noqa: SIM110
            if not self.steps[(step_run.occurrence, predecessor)].is_done():
                return False
        return True

    def _may_open_another(self) -> bool:
        open_occurrences = self._opened - self._first_open
        open_tasks = (open_occurrences + 1) * self._tasks_per_occurrence
        return open_occurrences == 0 or open_tasks <= MAX_OPEN_TASKS

    def _restore(self, key: str, task: Task) -> None:
        occurrence, step, index = _parse_task_key(key)
        if (
            not self._first_open <= occurrence < self.occurrences()
            or occurrence - self._first_open > MAX_OPEN_TASKS
            or not 0 <= step < len(self.job.steps)
        ):
            raise ValueError(f"the job has no open task {key!r}")
        self._open_until(occurrence + 1)
        self.steps[(occurrence, step)].restore(index, task)

    def _open_until(self, occurrences: int) -> None:
        for occurrence in range(self._opened, occurrences):
            for number in range(len(self.job.steps)):
                key = (occurrence, number)
                self.steps[key] = StepRun(self.job, occurrence, number)
        self._opened = max(self._opened, occurrences)


def _parse_task_key(key: str) -> tuple[int, int, int]:
    parts = key.split(".")
    if len(parts) != 3 or not all(part.isdecimal() for part in parts):
        raise ValueError(f"malformed key of a task: {key!r}")
    occurrence, step, index = map(int, parts)
    return occurrence, step, index


def _recorded_task(task: Task) -> Task:
    if task.state is TaskState.DONE:
        return Task(TaskState.DONE, task.run)
    return task
