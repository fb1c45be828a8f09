"""Start suspects again, each on an upstream where nothing else has just started.

Load pattern: an upstream crashes in a burst, and up to two dozen runs there had just
been started. One of them may be the cause; all others should finish soon. A trial
settles in a fraction of a second. Suspects that are probably not the cause come first
and share a trial, so that most of them go on at once; a task that lost several runs, or
shared its loss with few others, is tried alone, which leaves no doubt.

Upstreams that lose power together are found to be gone one by one, so one that is still
held for reachable may be gone as well. A trial there would be lost for the same cause
and look like a second crash. It begins only once the upstream has responded after it
was chosen.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from ._last_resort import find_last_resort
from ._lasting_room import keep_upstreams
from ._later_room import count_later_places, needed_room
from ._open_room import keep_room_on
from ._orders import StartOrder
from ._placement import choose_upstream, may_run, without_own_run
from ._round_room import RoundRoom
from ._starting import commit_starts, reserve_run
from ._state import SchedulerState
from ._step_run import StepRun
from ._trial_limits import limit_trials
from ._upstream import Upstream

# Maximum expected number of causes among the runs of a trial, unless it has one run.
MAX_EXPECTED_CAUSES = 0.25

# Room is kept for a long-running task from this long before its hold ends: as long as
# most short tasks take.
ROOM_SECONDS = 3.0


@dataclass(frozen=True, slots=True)
class Candidate:
    """Hold tasks of a step that are tried together: one suspect, or a whole gang."""

    step_run: StepRun
    indexes: tuple[int, ...]
    # Expected number of crashes of which they are the cause.
    expected_causes: float
    # A long-running task that has waited for as long as it may is tried first, and
    # beyond the limits.
    is_due: bool = False
    # It has lost several runs.
    is_tried_alone: bool = False


@dataclass(slots=True)
class _Trial:
    upstream: Upstream
    expected_causes: float
    # Suspects that are due may join it whatever is expected of them.
    is_shared: bool = False


def find_candidates(
    state: SchedulerState, step_run: StepRun, now: float
) -> list[Candidate]:
    """Return the waiting tasks of a step that start only in a trial.

    A gang starts together, so one suspect makes suspects of all its tasks.
    """
    if not state.suspects.held_until:
        return []
    waiting = sorted(step_run.waiting)
    indexes = [i for i in waiting if step_run.task_id(i) in state.suspects]
    if indexes and step_run.step.is_gang:
        return [Candidate(step_run, tuple(waiting), 1.0)]
    return [
        Candidate(
            step_run,
            (index,),
            _expected_causes(state, step_run, index),
            _is_due(state, step_run, index, now),
            len(step_run.task(index).losses) > 1,
        )
        for index in indexes
    ]


def is_held(state: SchedulerState, step_run: StepRun, index: int, now: float) -> bool:
    """Return whether a task waits for the news whether its upstreams crashed."""
    losses = step_run.task(index).losses
    if len(losses) < 2 or all(loss.is_crash for loss in losses):
        return False
    task_id, is_lasting = step_run.task_id(index), step_run.step.is_lasting
    return state.suspects.is_held(task_id, losses, is_lasting, now)


def keep_room(state: SchedulerState, room: RoundRoom, now: float) -> None:
    """Keep upstreams free on which all long-running suspects that wait find room.

    Otherwise, short tasks would use the room as soon as it is freed, and also that
    beside a trial that has just settled.
    """
    if not state.allows_starts:
        return
    for pool, candidates in _find_waiting(state, now).items():
        upstreams = [
            upstream
            for upstream in state.upstreams.values()
            if upstream.entry.pool == pool
            and upstream.is_usable()
            and not state.is_evacuated(upstream)
            and not state.ejections.is_ejected(upstream.id, now)
        ]
        keep_upstreams(
            state,
            [(c.step_run, len(c.indexes), c.is_tried_alone) for c in candidates],
            upstreams,
            {upstream.id for upstream in room.reserved.get(pool, ())},
        )
        for upstream in upstreams:
            if upstream.is_reserved and upstream.accepts(now):
                room.take(pool, upstream)
                room.reserved.setdefault(pool, []).append(upstream)
                if room.reopen(upstream, upstream.kept, now):
                    room.usable.setdefault(pool, []).append(upstream)
                    room.healthy.setdefault(pool, []).append(upstream)


def _find_waiting(state: SchedulerState, now: float) -> dict[str, list[Candidate]]:
    """Return the long-running suspects that wait for room, by pool."""
    waiting: dict[str, list[Candidate]] = {}
    for job_id in sorted({task.job for task in state.suspects.held_until}):
        job_run = state.jobs.get(job_id)
        if job_run is None or job_run.state.is_final():
            continue
        try:
            candidates = [
                candidate
                for step_run in job_run.startable_steps()
                if step_run.step.is_lasting
                for candidate in find_candidates(state, step_run, now)
                if _needs_room(state, candidate, now)
            ]
        except Exception as error:
            state.set_apart(job_id, error)
            continue
        waiting.setdefault(state.pool_of(job_run), []).extend(candidates)
    return waiting


def _needs_room(state: SchedulerState, candidate: Candidate, now: float) -> bool:
    """Return whether a long-running suspect starts before short tasks have ended."""
    step_run = candidate.step_run
    needed = step_run.step.needs.times(len(candidate.indexes))
    return state.usage.allows(step_run.job.account, needed) and not any(
        is_held(state, step_run, index, now + ROOM_SECONDS)
        for index in candidate.indexes
    )


def plan_trials(
    state: SchedulerState,
    pool: str,
    candidates: Iterable[Candidate],
    room: RoundRoom,
    now: float,
) -> list[StartOrder]:
    """Return the starts of a pool's suspects that may be tried now.

    `candidates` are in the order of their urgency, and everything else has been placed.
    """
    likely_last = sorted(candidates, key=lambda c: (not c.is_due, c.expected_causes))
    planner = _TrialPlanner(state, pool, room, now)
    orders: list[StartOrder] = []
    for candidate in likely_last:
        if candidate.step_run.job.id not in state.jobs:
            # It was set apart in this round.
            continue
        try:
            orders += planner.plan(candidate)
        except Exception as error:
            state.set_apart(candidate.step_run.job.id, error)
    return orders


class _TrialPlanner:
    """Place the trials of one pool in one round."""

    def __init__(
        self,
        state: SchedulerState,
        pool: str,
        room: RoundRoom,
        now: float,
    ) -> None:
        self._state = state
        self._pool = pool
        self._room = room
        self._now = now
        self._trials: list[_Trial] = []
        self._limits = limit_trials(state, pool, pool in room.full_pools, now)

    def plan(self, candidate: Candidate) -> list[StartOrder]:
        """Return the starts of a candidate, or reserve an upstream for it."""
        step_run, indexes = candidate.step_run, candidate.indexes
        needed = step_run.step.needs.times(len(indexes))
        if not self._state.usage.allows(step_run.job.account, needed):
            return []
        if any(is_held(self._state, step_run, i, self._now) for i in indexes):
            return []
        chosen = self._join(candidate) or self._begin(candidate)
        return commit_starts(self._state, step_run, chosen)

    def _join(self, candidate: Candidate) -> list[tuple[int, Upstream]]:
        """Add a suspect to a trial that begins in this round."""
        for trial in self._trials:
            causes = trial.expected_causes + candidate.expected_causes
            if causes <= MAX_EXPECTED_CAUSES:
                chosen = self._place(candidate, [trial.upstream])
                if chosen:
                    trial.expected_causes = causes
                    return chosen
        return []

    def _join_others_due(self, candidate: Candidate) -> list[tuple[int, Upstream]]:
        """Add a suspect that is due to the least of the trials of such suspects."""
        shared = [trial for trial in self._trials if trial.is_shared]
        for trial in sorted(shared, key=lambda trial: trial.expected_causes):
            chosen = self._place(candidate, [trial.upstream])
            if chosen:
                trial.expected_causes += candidate.expected_causes
                return chosen
        return []

    def _begin(self, candidate: Candidate) -> list[tuple[int, Upstream]]:
        # Neither the trials of others nor upstreams that are down after them hold up
        # one that is due.
        if not candidate.is_due and not self._limits.allow_another():
            return []
        is_shared = candidate.is_due and not candidate.is_tried_alone
        may_use_busy = candidate.is_due or self._limits.at_risk == 0
        upstreams = self._upstreams_for(candidate.step_run)
        quiet = [
            upstream
            for upstream in upstreams
            if not upstream.unsettled_count() and (may_use_busy or not upstream.runs)
        ]
        advised = self._advised(candidate, quiet)
        responding = [upstream for upstream in advised if upstream.responds(self._now)]
        chosen = self._place(candidate, responding)
        if chosen:
            self._limits.count_another()
            for upstream in {u.id: u for _, u in chosen}.values():
                self._room.take(self._pool, upstream)
                self._state.waits.trial_count += 1
                causes = candidate.expected_causes
                self._trials.append(_Trial(upstream, causes, is_shared))
            return chosen
        if is_shared:
            chosen = self._join_others_due(candidate)
            if chosen:
                return chosen
        has_room = self._await_contact(candidate, advised)
        if not has_room and may_use_busy and not candidate.step_run.step.is_lasting:
            self._reserve(candidate, self._advised(candidate, upstreams))
        return []

    def _upstreams_for(self, step_run: StepRun) -> list[Upstream]:
        upstreams = self._room.for_trials(self._pool)
        ejected = self._room.ejected.get(self._pool, ())
        step = step_run.step
        if step.is_lasting and not any(may_run(step, u, u.room()) for u in upstreams):
            # As in other starts of long-running tasks, an ejected one may be used.
            return list({u.id: u for u in [*upstreams, *ejected]}.values())
        return upstreams + find_last_resort(
            self._state, self._pool, step_run, ejected, self._now
        )

    def _advised(
        self, candidate: Candidate, upstreams: list[Upstream]
    ) -> list[Upstream]:
        return self._state.advised(candidate.step_run, upstreams, self._now)

    def _place(
        self, candidate: Candidate, upstreams: list[Upstream]
    ) -> list[tuple[int, Upstream]]:
        """Reserve room for all tasks of a candidate, or for none."""
        step_run = candidate.step_run
        chosen: list[tuple[int, Upstream]] = []
        placed = step_run.placed_by_upstream()
        for index in candidate.indexes:
            upstream = self._choose(step_run, index, upstreams, placed)
            if upstream is None:
                for other, reserved in chosen:
                    self._state.remove_run(reserved, step_run.task_id(other))
                return []
            placed[upstream.id] = placed.get(upstream.id, 0) + 1
            reserve_run(self._state, step_run, index, upstream, self._now, True)
            chosen.append((index, upstream))
        return chosen

    def _choose(
        self,
        step_run: StepRun,
        index: int,
        upstreams: list[Upstream],
        placed: dict[str, int],
    ) -> Upstream | None:
        step = step_run.step
        upstreams = without_own_run(upstreams, step_run.task_id(index))
        if step.is_gang:
            return choose_upstream(step_run, upstreams, placed, "")
        losses = step_run.task(index).losses
        instances = {loss.instance for loss in losses}
        labels = {label for loss in losses for label in loss.labels}
        fitting = [
            upstream
            for upstream in upstreams
            if may_run(step, upstream, upstream.room())
            and not 0 < step.most_per_upstream <= placed.get(upstream.id, 0)
        ]
        # A crash elsewhere proves more, and costs least where little runs.
        return min(
            fitting,
            key=lambda upstream: (
                self._state.instance_by_upstream.get(upstream.id, "") in instances,
                not labels.isdisjoint(upstream.entry.labels),
                bool(step.data_rack) and step.data_rack not in upstream.entry.labels,
                upstream.used.cpu_millis,
            ),
            default=None,
        )

    def _await_contact(self, candidate: Candidate, upstreams: list[Upstream]) -> bool:
        """Keep upstreams for a candidate until they have responded.

        Return whether there is room for it.
        """
        step_run = candidate.step_run
        chosen = self._place(candidate, upstreams)
        for index, upstream in chosen:
            self._state.remove_run(upstream, step_run.task_id(index))
        for upstream in {u.id: u for _, u in chosen}.values():
            if upstream.trial_wanted_at is None:
                upstream.trial_wanted_at = self._now
            self._keep_free(upstream)
        return bool(chosen)

    def _keep_free(self, upstream: Upstream) -> None:
        upstream.is_reserved = True
        self._limits.count_another()
        self._room.take(self._pool, upstream)

    def _reserve(self, candidate: Candidate, upstreams: list[Upstream]) -> None:
        """Keep upstreams free of other starts until their runs have settled.

        None is kept unless all tasks of the candidate fit once short tasks have ended.
        """
        reserved = self._room.reserved.get(self._pool, [])
        preferred = sorted(
            upstreams,
            key=lambda upstream: (
                upstream not in reserved,
                upstream.unsettled_count(),
                upstream.used.cpu_millis,
            ),
        )
        step_run, wanted = candidate.step_run, len(candidate.indexes)
        placed = step_run.placed_by_upstream()
        kept: list[tuple[Upstream, int]] = []
        for upstream in preferred:
            places = min(wanted, count_later_places(step_run, upstream, placed))
            if places:
                kept.append((upstream, places))
                wanted -= places
        if wanted:
            return
        for upstream, places in kept:
            needs = needed_room(step_run.step).times(places)
            keep_room_on(upstream, needs, is_for_trial=True)
            self._keep_free(upstream)


def _is_due(state: SchedulerState, step_run: StepRun, index: int, now: float) -> bool:
    losses = step_run.task(index).losses
    return step_run.step.is_lasting and state.suspects.is_due(
        step_run.task_id(index), losses, now
    )


def _expected_causes(state: SchedulerState, step_run: StepRun, index: int) -> float:
    losses = step_run.task(index).losses
    if len(losses) != 1:
        return 1.0
    # The fewer suspects of the crash are left, the likelier each of them.
    return 1.0 / max(1, len(state.suspects.tasks_lost_with(losses[0].upstream)))
