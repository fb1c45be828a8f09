"""Track the progress of the tasks of one step."""

from ..jobs import Job, Step, Task, TaskId, TaskState


class StepRun:
    """Track the tasks of a step in one occurrence of a job."""

    def __init__(self, job: Job, occurrence: int, number: int) -> None:
        """Start with all tasks waiting."""
        self.job = job
        self.occurrence = occurrence
        self.number = number
        self.step: Step = job.steps[number]
        self.tasks: dict[int, Task] = {}
        self.waiting: set[int] = set(range(self.step.count))
        self.done = 0
        # Upstreams on which a later run of a done task may still run, by index.
        self.unneeded_on: dict[int, str] = {}
        # The latest checkpoint of any member, from which all of a gang resume.
        self.gang_checkpoint = ""

    def key(self) -> tuple[str, int, int]:
        """Return the job's id, the occurrence and the number of the step."""
        return (self.job.id, self.occurrence, self.number)

    def restore(self, index: int, task: Task) -> None:
        """Restore a task from its record; raise ValueError if it is out of range."""
        if not 0 <= index < self.step.count:
            raise ValueError(
                f"task index {index} is out of range for task count {self.step.count}"
            )
        self.tasks[index] = task
        self.gang_checkpoint = task.checkpoint or self.gang_checkpoint
        if task.state is not TaskState.WAITING:
            self.waiting.discard(index)
        if task.state is TaskState.DONE:
            self.done += 1

    def note_checkpoint(self, task: Task, checkpoint: str) -> None:
        """Keep the checkpoint that a run of a task has reported, if there is one."""
        if checkpoint:
            task.checkpoint = self.gang_checkpoint = checkpoint

    def is_done(self) -> bool:
        """Return whether every task is done."""
        return self.done >= self.step.count

    def finish(self, index: int, run: int) -> None:
        """Note that a run of a task has ended as done, whichever is its latest run."""
        task = self.task(index)
        if task.state is TaskState.DONE:
            return
        if task.state is TaskState.STARTED and task.run > run:
            self.unneeded_on[index] = task.upstream
        task.state = TaskState.DONE
        # The number of the run that counts tells the other ones apart.
        task.run = run
        task.start_ms = task.stalls = 0
        self.waiting.discard(index)
        self.done += 1

    def note_gone(self, index: int, upstream: str) -> None:
        """Note that an upstream no longer runs a task."""
        if self.unneeded_on.get(index) == upstream:
            del self.unneeded_on[index]

    def task(self, index: int) -> Task:
        """Return a task's progress, and create it on first use."""
        found = self.tasks.get(index)
        if found is None:
            found = self.tasks[index] = Task()
        return found

    def task_id(self, index: int) -> TaskId:
        """Return the id of a task."""
        return TaskId(self.job.id, self.occurrence, self.number, index)

    def started_indexes(self) -> list[int]:
        """Return the indexes of the tasks that may be running."""
        return [i for i, t in self.tasks.items() if t.state is TaskState.STARTED]

    def placed_by_upstream(self) -> dict[str, int]:
        """Return how many tasks may be running on each upstream, needed or not."""
        placed: dict[str, int] = {}
        for index in self.started_indexes():
            name = self.tasks[index].upstream
            placed[name] = placed.get(name, 0) + 1
        for name in self.unneeded_on.values():
            placed[name] = placed.get(name, 0) + 1
        return placed
