"""Check how often and when tasks run."""

from collections import defaultdict
from collections.abc import Iterator
from typing import NamedTuple

from ._breach import Breach
from ._event import Event
from ._planned_job import PlannedJob

# The platform's bound from the answer to a cancellation to the last start.
CANCEL_SECONDS = 3.0
LATE_END_PROMISE = "no-start-after-late-end"
# The name and the incarnation of an upstream.
_Life = tuple[str, int]


class _End(NamedTuple):
    number: int
    task: str
    life: _Life
    at: float


class RunCheck:
    """Check for one run at a time, and for none after an end or a cancellation."""

    def __init__(self, jobs_by_id: dict[str, PlannedJob]) -> None:
        """Start without runs."""
        self._jobs_by_id = jobs_by_id
        # The run of each task on each upstream.
        self._open_runs: dict[str, dict[str, int]] = defaultdict(dict)
        # Ends as done that are not acknowledged.
        self._ends: dict[_Life, list[_End]] = defaultdict(list)
        # Those that are, by task.
        self._done: dict[str, list[_End]] = defaultdict(list)
        # When the lease of each upstream lapsed for the last time.
        self._lapsed_at: dict[_Life, float] = {}
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
                life = _life(event)
                self._ends[life].append(
                    _End(event["number"], event["task"], life, event.at)
                )
        elif event.name == "lapse":
            self._lapsed_at[_life(event)] = event.at
        elif event.name == "acknowledged":
            self._acknowledge(event)
        elif event.name == "crash":
            for runs in self._open_runs.values():
                runs.pop(event["upstream"], None)
        elif event.name == "cancel" and event["status"] == 200:
            # Whatever the state: the owner may not have decided yet.
            self._cancelled_at.setdefault(event.job, event.at)

    def running_tasks(self, job: str) -> int:
        """Return how many tasks of a job are running."""
        return sum(bool(r) for t, r in self._open_runs.items() if t.startswith(job))

    def _acknowledge(self, event: Event) -> None:
        ends = self._ends[_life(event)]
        while ends and ends[0].number <= event["number"]:
            end = ends.pop(0)
            self._done[end.task].append(end)

    def _check_start(self, event: Event) -> Iterator[Breach]:
        task, job = event["task"], event.job
        may_copy = self._jobs_by_id[job].kind == "copies"
        text = f"{task}, run {event['run']} on {event['upstream']}"
        for upstream, run in self._open_runs[task].items():
            if not may_copy:
                detail = f"{text} starts while run {run} runs on {upstream}"
                yield Breach("one-run", event.at, detail, job)
        for end in self._done.get(task, ()):
            # After a lapse the platform allows the next run, as the end was not known.
            has_lapsed = self._lapsed_at.get(end.life, end.at) > end.at
            promise = LATE_END_PROMISE if has_lapsed else "no-start-after-end"
            detail = f"{text} starts after an acknowledged end at {end.at:.2f} s"
            yield Breach(promise, event.at, detail, job)
        cancelled_at = self._cancelled_at.get(job, event.at)
        if event.at - cancelled_at > CANCEL_SECONDS:
            detail = f"{text} starts, cancelled at {cancelled_at:.2f} s"
            yield Breach("no-start-after-cancel", event.at, detail, job)


def _life(event: Event) -> _Life:
    return event["upstream"], event["incarnation"]
