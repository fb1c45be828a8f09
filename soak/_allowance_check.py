"""Check that maintenance keeps enough tasks of each step running."""

from collections import defaultdict
from collections.abc import Iterator

from ._breach import Breach
from ._event import Event
from ._planned_job import PlannedJob

# The time in which a loss that nobody ordered is noticed.
NOTICE_SECONDS = 3.0


class AllowanceCheck:
    """Check how many tasks of a step are away when maintenance ends some."""

    def __init__(self, jobs_by_id: dict[str, PlannedJob]) -> None:
        """Start without tasks."""
        self._jobs_by_id = jobs_by_id
        # By job, the tasks that have run, and since when they are away by what.
        self._away: dict[str, dict[str, tuple[float, str]]] = defaultdict(dict)
        self._cancelled: set[str] = set()

    def __call__(self, event: Event) -> Iterator[Breach]:
        """Return the promises that an event breaks."""
        if event.name == "cancel-sent":
            self._cancelled.add(event.job)
        elif event.name == "start":
            self._away[event.job].pop(event["task"], None)
        elif event.name == "end" and event["how"] != "done":
            yield from self._lose([event["task"]], event, event["how"] == "stopped")
        elif event.name == "crash":
            is_ordered = event["state"] == "upkeep"
            yield from self._lose(event["running"], event, is_ordered)

    def _lose(
        self, tasks: list[str], event: Event, is_ordered: bool
    ) -> Iterator[Breach]:
        jobs: set[str] = set()
        for task in tasks:
            job = task.partition(".")[0]
            if self._jobs_by_id[job].allowance and job not in self._cancelled:
                self._away[job][task] = (event.at, "order" if is_ordered else "loss")
                jobs.add(job)
        for job in sorted(jobs) if is_ordered else ():
            away = [
                task
                for task, (at, cause) in self._away[job].items()
                if cause == "order" or event.at - at > NOTICE_SECONDS
            ]
            allowance = self._jobs_by_id[job].allowance
            if len(away) > allowance:
                detail = f"{len(away)} tasks are away, {allowance} may be: {away}"
                yield Breach("allowance", event.at, detail, job)
