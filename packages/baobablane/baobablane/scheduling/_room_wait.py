"""Tell whether a step waits for room, or for something else.

Load pattern: a pool has room, and the job that goes first lacks something else, such as
a ticket for it. Only a lack of room may keep others waiting, so it is looked for itself
and not taken for granted when nothing else is known to be missing.
"""

from collections.abc import Collection, Mapping

from ..jobs import Step
from ._later_room import count_places, needed_room
from ._placement import may_run
from ._state import SchedulerState
from ._step_run import StepRun
from ._upstream import Upstream

# Maximum number of unsettled runs on each upstream of a pool whose upstreams crash.
MAX_YOUNG_RUNS = 4


def find_permitted(
    state: SchedulerState, step_run: StepRun, upstreams: Collection[Upstream]
) -> list[Upstream]:
    """Return the upstreams that a task may use once they have room for it."""
    step, placed = step_run.step, step_run.placed_by_upstream()
    return [
        upstream
        for upstream in upstreams
        if may_run(step, upstream, upstream.entry.capacity)
        and not 0 < step.most_per_upstream <= placed.get(upstream.id, 0)
        and not (
            state.needs_advice(step_run)
            and state.advice.is_rejected(step_run.key(), upstream.id)
        )
    ]


def waits_for_room(
    state: SchedulerState,
    step_run: StepRun,
    upstreams: Collection[Upstream],
    young_runs: Mapping[str, int],
) -> bool:
    """Return whether all upstreams that a task, or its gang, may use are too full.

    `young_runs` are the unsettled runs on upstreams on which few may start together.
    """
    permitted = find_permitted(state, step_run, upstreams)
    step = step_run.step
    if not permitted:
        return False
    if step.is_gang:
        places = 0
        for upstream in permitted:
            most = step.most_per_upstream or step.count
            places += count_places(step, upstream.room(), most)
        return places < step.count
    return not any(takes_one_more(step, u, young_runs) for u in permitted)


def takes_one_more(
    step: Step, upstream: Upstream, young_runs: Mapping[str, int]
) -> bool:
    """Return whether an upstream has the room that a task needs, whatever it lacks."""
    if not step.is_gang and young_runs.get(upstream.id, 0) >= MAX_YOUNG_RUNS:
        return False
    return needed_room(step).fits_in(upstream.room())
