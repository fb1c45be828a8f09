"""Tell what runs on which upstreams, and which of them can be used."""

from collections import Counter, defaultdict

from baobablane_standin.platform import StandinSettings

from ._calm import MOMENTARY_KINDS, UPSTREAM_PREFIX, is_of_upstream
from ._event import Event
from ._plan import UPSTREAMS

# Each task of a planned job declares one core.
CORES_PER_UPSTREAM = StandinSettings().cores_per_upstream


class PoolUse:
    """Tell what runs on which upstreams, and which of them can be used.

    An upstream can be used while it is up, doesn't reject orders, and has no fault on
    its link to all entry instances.
    """

    def __init__(self) -> None:
        """Start with all upstreams up and nothing running."""
        # The upstreams on which each task runs.
        self._upstreams_by_task: dict[str, set[str]] = defaultdict(set)
        self._down: set[str] = set()
        self._faults: Counter[str] = Counter()

    def note(self, event: Event) -> list[str]:
        """Take note of an event, and return the tasks that it leaves without a run."""
        if event.name == "start":
            self._upstreams_by_task[event["task"]].add(event["upstream"])
        elif event.name == "end":
            return self._end([event["task"]], event["upstream"])
        elif event.name == "crash":
            self._down.add(event["upstream"])
            return self._end(list(self._upstreams_by_task), event["upstream"])
        elif event.name == "return":
            self._down.discard(event["upstream"])
        elif event.name in ("fault", "fault-ends"):
            self._note_fault(event)
        return []

    def is_running(self, task: str) -> bool:
        """Return whether a task runs anywhere."""
        return bool(self._upstreams_by_task.get(task))

    def core_count(self) -> int:
        """Return the number of cores of the upstreams that can be used."""
        return len(self._usable()) * CORES_PER_UPSTREAM

    def used_count(self, job_ids: set[str] | None = None) -> int:
        """Return how many of these cores are used, by some jobs or by all."""
        usable = self._usable()
        return sum(
            len(upstreams & usable)
            for task, upstreams in self._upstreams_by_task.items()
            if job_ids is None or task.partition(".")[0] in job_ids
        )

    def _usable(self) -> set[str]:
        return {u for u in UPSTREAMS if u not in self._down and not self._faults[u]}

    def _end(self, tasks: list[str], upstream: str) -> list[str]:
        lost = []
        for task in tasks:
            upstreams = self._upstreams_by_task[task]
            if upstream in upstreams:
                upstreams.discard(upstream)
                if not upstreams:
                    lost.append(task)
                    del self._upstreams_by_task[task]
        return lost

    def _note_fault(self, event: Event) -> None:
        kind = event["kind"]
        for target in event["targets"]:
            if kind in MOMENTARY_KINDS:
                continue
            if kind == "unhealthy" or is_of_upstream(kind, target):
                upstream = target.removeprefix(UPSTREAM_PREFIX)
                self._faults[upstream] += 1 if event.name == "fault" else -1
