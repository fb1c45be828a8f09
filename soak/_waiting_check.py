"""Check that accepted jobs run if there is room for them."""

from collections import Counter, defaultdict
from collections.abc import Iterator

from ._answer_check import ENDED_STATES, MAX_ATTEMPTS
from ._breach import Breach
from ._calm import Calm
from ._event import Event
from ._lasting_check import CALM_SECONDS, WAITING_SECONDS
from ._plan import INTERVAL_MS
from ._planned_job import PlannedJob
from ._pool_use import PoolUse

WAITING_PROMISE = "job-with-room-runs"


class WaitingCheck:
    """Check that accepted jobs run if there is room for them.

    The promise is broken at the first moment at which nothing of an accepted job has
    run for 3 s, the last 7 s were calm, and for 3 s under half of the cores that can
    be used were in use. It doesn't hold for a job that was cancelled or shown as ended,
    has all tasks done, or a task that has failed so often that it is given up. Each
    occurrence counts from its time. An end that was lost with its upstream before it
    was read counts for nothing.
    """

    def __init__(self, jobs_by_id: dict[str, PlannedJob]) -> None:
        """Start without jobs."""
        self._jobs = {i: j for i, j in jobs_by_id.items() if not j.allowance}
        # Since when accepted jobs, to which a run is owed, have had none.
        self._waiting: dict[str, float] = {}
        self._closed: set[str] = set()
        # When the last occurrence of each accepted job is due.
        self._due_at: dict[str, float] = {}
        self._running: dict[str, set[tuple[str, str]]] = defaultdict(set)
        self._done: dict[str, set[str]] = defaultdict(set)
        # By upstream, tasks done whose ends were not read, by the number of the end.
        self._unread: dict[str, dict[int, str]] = defaultdict(dict)
        self._failures: Counter[str] = Counter()
        self._calm = Calm()
        self._pool = PoolUse()
        self._roomy_since: float | None = 0.0

    def __call__(self, event: Event) -> Iterator[Breach]:
        """Return the promises that are broken by the time of an event."""
        yield from self._judge(event.at)
        self._calm.note(event)
        self._pool.note(event)
        self._note_room(event.at)
        if event.name == "start":
            self._running[event.job].add((event["task"], event["upstream"]))
            self._waiting.pop(event.job, None)
        elif event.name == "end":
            self._note_end(event)
        elif event.name == "acknowledged":
            unread = self._unread[event["upstream"]]
            for number in [n for n in unread if n <= event["number"]]:
                del unread[number]
        elif event.name == "crash":
            self._note_crash(event)
        elif event.name == "cancel-sent" or event.fields.get("state") in ENDED_STATES:
            self._closed.add(event.job)
            self._waiting.pop(event.job, None)
        elif event.name == "submit" and event["status"] == 200:
            self._accept(event.job, event.at)

    def _accept(self, job: str, at: float) -> None:
        if job in self._jobs and job not in self._due_at:
            intervals = self._jobs[job].occurrences - 1
            self._due_at[job] = at + intervals * INTERVAL_MS / 1000
            self._wait(job, at)

    def _judge(self, at: float) -> Iterator[Breach]:
        if self._roomy_since is None or at - self._roomy_since < WAITING_SECONDS:
            return
        if self._calm.seconds(at) < CALM_SECONDS + WAITING_SECONDS:
            return
        for job, since in list(self._waiting.items()):
            if at - since >= WAITING_SECONDS:
                del self._waiting[job]
                detail = f"{job} ({self._jobs[job].kind}) has not run since {since:.2f}"
                yield Breach(WAITING_PROMISE, at, detail, job)

    def _note_room(self, at: float) -> None:
        cores = self._pool.core_count()
        if 2 * self._pool.used_count() >= cores:
            self._roomy_since = None
        elif self._roomy_since is None:
            self._roomy_since = at

    def _note_end(self, event: Event) -> None:
        task, upstream, job = event["task"], event["upstream"], event.job
        if event["how"] == "done":
            self._done[job].add(task)
            self._unread[upstream][event["number"]] = task
        elif event["how"] == "failed":
            self._failures[task] += 1
        self._running[job].discard((task, upstream))
        self._wait(job, event.at)

    def _note_crash(self, event: Event) -> None:
        upstream = event["upstream"]
        if event["state"] != "upkeep":
            self._failures.update(event["running"])
        unread = self._unread.pop(upstream, {}).values()
        for task in unread:
            self._done[task.partition(".")[0]].discard(task)
        for task in event["running"]:
            self._running[task.partition(".")[0]].discard((task, upstream))
        for job in {task.partition(".")[0] for task in [*event["running"], *unread]}:
            self._wait(job, event.at)

    def _wait(self, job: str, at: float) -> None:
        self._waiting.pop(job, None)
        if job not in self._due_at or job in self._closed or self._running[job]:
            return
        failures = (n for t, n in self._failures.items() if t.startswith(job))
        is_hopeless = max(failures, default=0) >= MAX_ATTEMPTS
        if not is_hopeless and len(self._done[job]) < self._jobs[job].task_count:
            self._waiting[job] = max(at, self._due_at[job])
