"""Decide what may use an upstream on which room is kept for tasks that wait.

Load pattern: a task waits for the end of others, and small tasks would use up the room
as it is freed. One of those others may take minutes, while the rest of the upstream is
free. What leaves the room that is waited for may start all the same, and so may what
ends before that room can be there.
"""

from dataclasses import dataclass

from ..deployment import Resources
from ..jobs import Step
from ._kept_room import KeptRoom
from ._later_room import needed_room
from ._upstream import Run, Upstream, counted_resources

# Declared times are wrong by a factor of up to two.
DECLARED_ERROR = 2.0
# A run that has taken longer than declared may take this part of its age longer.
OVERDUE_PART = 0.5
# A job may have nothing running for this long although there is room for it. For so
# long, an upstream that is about to have the room takes nothing else.
CLOSING_SECONDS = 3.0
FULL_PERCENT = 100


@dataclass(frozen=True, slots=True)
class OpenRoom:
    """Hold in how many seconds the room that is kept on an upstream can be there."""

    upstream: Upstream
    kept: KeptRoom
    seconds: float

    def is_closing(self) -> bool:
        """Return whether the room may be there soon."""
        return self.seconds <= CLOSING_SECONDS

    def admits(self, step: Step) -> bool:
        """Return whether a task of a step may start beside what is waited for."""
        if self.kept.is_for_trial and self.is_closing():
            return False
        left = _room_after_blockers(self.upstream, self.kept) - self.kept.needs
        if needed_room(step).fits_in(left):
            return True
        task_seconds = DECLARED_ERROR * step.estimated_ms / 1000
        return not step.is_lasting and 0.0 < task_seconds <= self.seconds


def keep_room_on(upstream: Upstream, needs: Resources, is_for_trial: bool) -> None:
    """Keep room on an upstream until the next round, beside what is kept already."""
    if upstream.kept_before is not None:
        blockers = upstream.kept_before.blockers
    else:
        runs = upstream.runs.values()
        blockers = frozenset(run.task for run in runs if not run.is_lasting)
    if upstream.kept is not None:
        needs = needs + upstream.kept.needs
        is_for_trial = is_for_trial or upstream.kept.is_for_trial
    upstream.kept = KeptRoom(needs, blockers, is_for_trial)


def find_open_room(upstream: Upstream, kept: KeptRoom, now: float) -> OpenRoom:
    """Return until when others may use an upstream on which room is kept.

    Only runs from before the room was kept are waited for, so those that were let in
    since then never put off its end.
    """
    runs = list(upstream.runs.values())
    blockers = [run for run in runs if run.task in kept.blockers]
    blockers.sort(key=lambda run: _seconds_left(run, now))
    room = upstream.entry.capacity
    for run in runs:
        if run.is_lasting or run.task in kept.blockers:
            room = room - counted_resources(run)
    seconds = 0.0
    for run in blockers:
        if kept.needs.fits_in(room):
            break
        room = room + counted_resources(run)
        seconds = _seconds_left(run, now)
    return OpenRoom(upstream, kept, seconds)


def _room_after_blockers(upstream: Upstream, kept: KeptRoom) -> Resources:
    room = upstream.entry.capacity
    for run in upstream.runs.values():
        if run.task not in kept.blockers:
            room = room - counted_resources(run)
    return room


def _seconds_left(run: Run, now: float) -> float:
    """Return how much longer a run probably takes, by its progress if it shows any."""
    age_seconds = now - run.started_at
    if 0 < run.percent < FULL_PERCENT:
        return age_seconds * (FULL_PERCENT - run.percent) / run.percent
    return max(run.declared_seconds - age_seconds, OVERDUE_PART * age_seconds)
