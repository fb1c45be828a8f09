"""Check that each long-running task runs again in time."""

from collections.abc import Iterator
from dataclasses import dataclass

from ._answer_check import ENDED_STATES
from ._breach import Breach
from ._calm import Calm
from ._event import Event
from ._planned_job import PlannedJob
from ._pool_use import PoolUse

# The platform's bounds: the time without a run that it allows, the time for which the
# task must then have had none, with room for it, and the calm before that.
AWAY_SECONDS = 6.0
WAITING_SECONDS = 3.0
CALM_SECONDS = 4.0
# A task needs one core, and the platform asks for room for it twice.
ROOM_CORES = 2
LASTING_PROMISE = "lasting-task-runs"


@dataclass(slots=True)
class Absence:
    """Hold since when a task has had no run, and its longest calm stretch."""

    task: str
    since: float
    seconds: float = 0.0
    calm_seconds: float = 0.0
    is_broken: bool = False

    def __str__(self) -> str:
        return f"{self.seconds:.1f} s, of which calm {self.calm_seconds:.1f} s"


class LastingCheck:
    """Check that each long-running task runs again in time.

    The promise is broken at the first moment at which an accepted job has neither been
    cancelled nor shown as ended, and nothing has run one of its tasks for 6 s, counted
    from its last run or else from the acceptance; the last 7 s were calm; and
    for the last 3 s the cores of the upstreams that can be used, less those of
    long-running tasks at work, were enough for the task twice. Tasks that end
    take no room away, as the promise holds however full the pool is.
    """

    def __init__(self, jobs_by_id: dict[str, PlannedJob]) -> None:
        """Start without tasks."""
        self._counts = {i: j.task_count for i, j in jobs_by_id.items() if j.allowance}
        self._lasting = set(self._counts)
        # Jobs that were accepted and have not ended or been cancelled.
        self._open: set[str] = set()
        self._closed: set[str] = set()
        self._absences: dict[str, Absence] = {}
        self._past: list[Absence] = []
        self._calm = Calm()
        self._pool = PoolUse()
        self._roomy_since: float | None = 0.0

    def __call__(self, event: Event) -> Iterator[Breach]:
        """Return the promises that are broken by the time of an event."""
        # What an event changes doesn't count for the time before it.
        yield from self._judge(event.at)
        self._calm.note(event)
        lost = self._pool.note(event)
        self._note_room(event.at)
        if event.name == "start":
            self._return(event["task"])
        elif event.name == "cancel-sent" or event.fields.get("state") in ENDED_STATES:
            self._close(event.job)
        elif event.name == "submit" and event["status"] == 200:
            self._accept(event.job, event.at)
        for task in lost:
            if task.partition(".")[0] in self._lasting - self._closed:
                self._absences[task] = Absence(task, event.at)

    def longest(self) -> Absence | None:
        """Return the longest time of a task without a run, over or not."""
        absences = [*self._past, *self._absences.values()]
        return max(absences, key=lambda absence: absence.seconds, default=None)

    def _judge(self, at: float) -> Iterator[Breach]:
        calm = self._calm.seconds(at)
        roomy = 0.0 if self._roomy_since is None else at - self._roomy_since
        is_due = calm >= CALM_SECONDS + WAITING_SECONDS and roomy >= WAITING_SECONDS
        for task, absence in self._absences.items():
            if task.partition(".")[0] not in self._open:
                continue
            absence.seconds = at - absence.since
            calm_seconds = min(calm, absence.seconds)
            absence.calm_seconds = max(absence.calm_seconds, calm_seconds)
            is_late = absence.seconds >= AWAY_SECONDS and is_due
            if is_late and not absence.is_broken:
                absence.is_broken = True
                detail = f"{task} has had no run since {absence.since:.2f} s"
                yield Breach(LASTING_PROMISE, at, detail, task.partition(".")[0])

    def _note_room(self, at: float) -> None:
        room = self._pool.core_count() - self._pool.used_count(self._lasting)
        if room < ROOM_CORES:
            self._roomy_since = None
        elif self._roomy_since is None:
            self._roomy_since = at

    def _accept(self, job: str, at: float) -> None:
        if job not in self._lasting - self._closed - self._open:
            return
        self._open.add(job)
        for number in range(self._counts[job]):
            task = f"{job}.0.0.{number}"
            if not self._pool.is_running(task):
                self._absences[task] = Absence(task, at)

    def _return(self, task: str) -> None:
        absence = self._absences.pop(task, None)
        if absence is not None:
            self._past.append(absence)

    def _close(self, job: str) -> None:
        if job not in self._lasting:
            return
        self._open.discard(job)
        self._closed.add(job)
        for task in [t for t in self._absences if t.partition(".")[0] == job]:
            self._return(task)
