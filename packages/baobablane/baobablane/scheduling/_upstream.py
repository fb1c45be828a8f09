"""Hold what the owner knows of an upstream."""

from dataclasses import dataclass, field

from ..deployment import NO_RESOURCES, Resources, UpstreamEntry
from ..jobs import TaskId
from ._lease_tracker import LeaseTracker

# Starts are answered within some 20 ms; an upstream that keeps one waiting for longer
# may have gone silent, and gets no more of them until it has answered.
OVERDUE_START_SECONDS = 0.25


@dataclass(slots=True)
class Run:
    """Hold one run that may be going on at an upstream."""

    task: TaskId
    run: int
    needs: Resources
    account: str
    is_lasting: bool
    is_filler: bool
    started_at: float
    declared_seconds: float = 0.0
    # When its start, or a stop of it, was answered; a report asked for later must
    # list it. None while neither has been answered.
    confirmed_at: float | None = None
    # When its start was given up without an answer.
    unknown_since: float | None = None
    # It may not be there, but might still come: a stop makes that impossible.
    needs_stop: bool = False
    percent: int = -1
    percent_changed_at: float = 0.0
    measure: int = 0
    # Tail latency that a serving task must stay below; 0 for others.
    target_ms: int = 0
    # The pace that was ordered, in percent, and when.
    pace_percent: int = 100
    pace_changed_at: float = 0.0
    stop_sent_at: float | None = None
    is_stalled: bool = False
    # It is stopped to start elsewhere.
    is_evicted: bool = False


@dataclass(slots=True)
class Upstream:
    """Hold an upstream's room, its runs and whether it can be used."""

    entry: UpstreamEntry
    added_at: float
    runs: dict[TaskId, Run] = field(default_factory=dict)
    used: Resources = NO_RESOURCES
    lease: LeaseTracker | None = None
    # Number of the last end that was applied, and of the last that is recorded.
    applied_end: int = 0
    recorded_end: int = 0
    is_listed: bool = True
    # No new work: its instance is about to be moved, or is due for upkeep.
    is_cordoned: bool = False
    no_room_until: float = 0.0
    # Whether its latest call was answered.
    is_reachable: bool = False
    # Since when it has not answered, as far as that was looked at.
    unreachable_since: float | None = None
    # Runs that it lists and that nobody wants, by task.
    orphan_runs: dict[TaskId, int] = field(default_factory=dict)

    @property
    def id(self) -> str:
        """Return the upstream's id."""
        return self.entry.id

    def is_usable(self) -> bool:
        """Return whether the upstream is sound and open for new work."""
        return (
            self.is_listed
            and self.is_reachable
            and not self.entry.is_draining
            and not self.is_cordoned
        )

    def accepts(self, now: float) -> bool:
        """Return whether new work may be placed here now."""
        return (
            self.is_usable()
            and now >= self.no_room_until
            and not self._has_overdue_start(now)
        )

    def _has_overdue_start(self, now: float) -> bool:
        return any(
            run.confirmed_at is None and now - run.started_at > OVERDUE_START_SECONDS
            for run in self.runs.values()
        )

    def add(self, run: Run) -> None:
        """Count a run."""
        self.runs[run.task] = run
        self.used = self.used + _counted_resources(run)

    def remove(self, task: TaskId) -> Run | None:
        """Stop counting a run, and return it."""
        run = self.runs.pop(task, None)
        if run is not None:
            self.used = self.used - _counted_resources(run)
        return run

    def room(self) -> Resources:
        """Return what is left of the capacity."""
        return self.entry.capacity - self.used

    def latest_lease_expiry(self, unknown_lease_seconds: float) -> float:
        """Return when an upstream that stays silent runs nothing any more."""
        if self.lease is None:
            return self.added_at + unknown_lease_seconds
        return self.lease.latest_expiry()


def _counted_resources(run: Run) -> Resources:
    if run.is_filler:
        return Resources(0, run.needs.memory_mb, run.needs.gpus)
    return run.needs
