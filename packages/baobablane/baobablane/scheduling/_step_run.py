"""Hold how far the tasks of one step are."""

from ..jobs import Job, Step, Task, TaskId, TaskState


class StepRun:
    """Hold the tasks of a step of one occurrence."""

    def __init__(self, job: Job, occurrence: int, number: int) -> None:
        """Start with all tasks waiting."""
        self.job = job
        self.occurrence = occurrence
        self.number = number
        self.step: Step = job.steps[number]
        self.tasks: dict[int, Task] = {}
        self.waiting: set[int] = set(range(self.step.count))
        self.done = 0

    def key(self) -> tuple[str, int, int]:
        """Return the step's job, occurrence and number."""
        return (self.job.id, self.occurrence, self.number)

    def restore(self, index: int, task: Task) -> None:
        """Take over a task as it was recorded."""
        if not 0 <= index < self.step.count:
            raise ValueError(f"task {index} of a step of {self.step.count}")
        self.tasks[index] = task
        if task.state is not TaskState.WAITING:
            self.waiting.discard(index)
        if task.state is TaskState.DONE:
            self.done += 1

    def is_done(self) -> bool:
        """Return whether every task has ended as done."""
        return self.done >= self.step.count

    def task(self, index: int) -> Task:
        """Return a task's progress, made on first use."""
        found = self.tasks.get(index)
        if found is None:
            found = self.tasks[index] = Task()
        return found

    def task_id(self, index: int) -> TaskId:
        """Return the id of one of the tasks."""
        return TaskId(self.job.id, self.occurrence, self.number, index)

    def started_indexes(self) -> list[int]:
        """Return the tasks that may be running."""
        return [i for i, t in self.tasks.items() if t.state is TaskState.STARTED]
