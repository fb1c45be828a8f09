"""Track the tasks whose runs were lost some time after their start."""

from ..jobs import RunLoss, TaskId
from ._suspects import SuspectTable


class LateLossTable(SuspectTable):
    """Hold the lost runs of tasks as this owner saw them; they are not recorded."""

    def __init__(self) -> None:
        """Start without any task."""
        super().__init__()
        self.losses_by_task: dict[TaskId, list[RunLoss]] = {}

    def remove(self, task: TaskId) -> None:
        """Remove a task and its lost runs."""
        super().remove(task)
        self.losses_by_task.pop(task, None)
