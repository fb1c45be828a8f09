"""Keep room on an upstream for a long-running task that finds none.

Load pattern: small tasks use up room as soon as it is freed, and a larger long-running
task would never start.
"""

import math
from collections.abc import Collection, Iterable

from ..deployment import NO_RESOURCES
from ._later_room import needed_room, room_without_short_runs
from ._open_room import keep_room_on
from ._placement import may_run
from ._state import SchedulerState
from ._step_run import StepRun
from ._upstream import Upstream

# Maximum part of a pool's upstreams of which each is kept for a single trial.
MAX_ALONE_PART = 0.5


def reserve_upstream(
    state: SchedulerState,
    step_run: StepRun,
    usable: list[Upstream],
) -> Upstream | None:
    """Keep room where a task fits once the short tasks there have ended.

    Return the upstream, or None if there is none that the task may use.
    """
    placed = step_run.placed_by_upstream()
    most = step_run.step.most_per_upstream
    fitting = [
        upstream
        for upstream in usable
        if may_run(step_run.step, upstream, room_without_short_runs(upstream))
        and not 0 < most <= placed.get(upstream.id, 0)
        and not state.advice.is_rejected(step_run.key(), upstream.id)
    ]
    if not fitting:
        return None
    # To change the upstream would begin the wait anew.
    chosen = max(
        fitting,
        key=lambda upstream: (
            upstream.kept_before is not None,
            upstream.room().cpu_millis,
        ),
    )
    keep_room_on(chosen, needed_room(step_run.step), is_for_trial=False)
    return chosen


def keep_upstreams(
    state: SchedulerState,
    waiting: Iterable[tuple[StepRun, int, bool]],
    upstreams: Collection[Upstream],
    preferred: Collection[str],
) -> None:
    """Reserve upstreams on which all waiting tasks fit once short tasks have ended.

    `waiting` holds steps, each with a number of long-running tasks and whether they run
    alone at first: as such a trial may crash its upstream, the next one needs another.
    `preferred` names upstreams, such as those that were reserved before.
    """
    room_by_id = {u.id: room_without_short_runs(u) for u in upstreams}
    most_alone = math.ceil(MAX_ALONE_PART * len(upstreams))
    for step_run, count, is_alone in waiting:
        step, placed = step_run.step, step_run.placed_by_upstream()
        for _ in range(count):
            fitting = [
                upstream
                for upstream in upstreams
                if may_run(step, upstream, room_by_id[upstream.id])
                and not 0 < step.most_per_upstream <= placed.get(upstream.id, 0)
                and not state.advice.is_rejected(step_run.key(), upstream.id)
            ]
            if not fitting:
                break
            chosen = min(
                fitting,
                key=lambda upstream: (
                    not upstream.is_reserved,
                    upstream.id not in preferred and not upstream.has_trial(),
                    room_by_id[upstream.id].cpu_millis - upstream.room().cpu_millis,
                ),
            )
            chosen.is_reserved = True
            keep_room_on(chosen, needed_room(step), is_for_trial=True)
            placed[chosen.id] = placed.get(chosen.id, 0) + 1
            if is_alone and most_alone > 0:
                most_alone -= 1
                room_by_id[chosen.id] = NO_RESOURCES
            elif not step.is_filler:
                room_by_id[chosen.id] = room_by_id[chosen.id] - step.needs
