"""Check how often and when tasks run."""

from collections import defaultdict
from collections.abc import Iterator

from ._breach import Breach
from ._event import Event
from ._planned_job import PlannedJob

# The platform's bound from the answer to a cancellation to the last start.
CANCEL_SECONDS = 3.0


class RunCheck:
    """Check for one run at a time, and for none after an end or a cancellation."""

    def __init__(self, jobs_by_id: dict[str, PlannedJob]) -> None:
        """Start without runs."""
        self._jobs_by_id = jobs_by_id
        # The run of each task on each upstream.
        self._open_runs: dict[str, dict[str, int]] = defaultdict(dict)
        # Ends by upstream and incarnation that are not acknowledged: number and task.
        self._ends: dict[tuple[str, int], list[tuple[int, str]]] = defaultdict(list)
        # Tasks of which an end as done is acknowledged.
        self._done: set[str] = set()
        # When a cancellation of each job was acknowledged.
        self._cancelled_at: dict[str, float] = {}

    def __call__(self, event: Event) -> Iterator[Breach]:
        """Return the promises that an event breaks."""
        if event.name == "start":
            yield from self._check_start(event)
            self._open_runs[event["task"]][event["upstream"]] = event["run"]
        elif event.name == "end":
            self._open_runs[event["task"]].pop(event["upstream"], None)
            if event["how"] == "done":
                life = (event["upstream"], event["incarnation"])
                self._ends[life].append((event["number"], event["task"]))
        elif event.name == "acknowledged":
            self._acknowledge(event)
        elif event.name == "crash":
            for runs in self._open_runs.values():
                runs.pop(event["upstream"], None)
        elif event.name == "cancel" and event["state"] == "cancelled":
            self._cancelled_at.setdefault(event.job, event.at)

    def running_tasks(self, job: str) -> int:
        """Return how many tasks of a job are running."""
        return sum(bool(r) for t, r in self._open_runs.items() if t.startswith(job))

    def _acknowledge(self, event: Event) -> None:
        ends = self._ends[event["upstream"], event["incarnation"]]
        while ends and ends[0][0] <= event["number"]:
            self._done.add(ends.pop(0)[1])

    def _check_start(self, event: Event) -> Iterator[Breach]:
        task, job = event["task"], event.job
        may_copy = self._jobs_by_id[job].kind == "copies"
        text = f"{task}, run {event['run']} on {event['upstream']}"
        for upstream, run in self._open_runs[task].items():
            if not may_copy:
                detail = f"{text} starts while run {run} runs on {upstream}"
                yield Breach("one-run", event.at, detail, job)
        if task in self._done:
            detail = f"{text} starts after an acknowledged end"
            yield Breach("no-start-after-end", event.at, detail, job)
        cancelled_at = self._cancelled_at.get(job, event.at)
        if event.at - cancelled_at > CANCEL_SECONDS:
            detail = f"{text} starts, cancelled at {cancelled_at:.2f} s"
            yield Breach("no-start-after-cancel", event.at, detail, job)
