"""Keep an upstream free for a long-running task that finds no room.

Load pattern: small tasks use up room as soon as it is freed, and a larger long-running
task would never start.
"""

from ..deployment import Resources
from ._placement import may_run
from ._state import SchedulerState
from ._step_run import StepRun
from ._upstream import Upstream


def reserve_upstream(
    state: SchedulerState,
    step_run: StepRun,
    healthy: list[Upstream],
    usable: list[Upstream],
) -> bool:
    """Remove an upstream where a task fits once the short tasks there have ended.

    Return whether there is one that the task may use.
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
        return False
    chosen = max(fitting, key=lambda upstream: upstream.room().cpu_millis)
    usable.remove(chosen)
    if chosen in healthy:
        healthy.remove(chosen)
    return True


def room_without_short_runs(upstream: Upstream) -> Resources:
    """Return the room that an upstream has once its short tasks have ended."""
    room = upstream.entry.capacity
    for run in upstream.runs.values():
        if run.is_lasting and not run.is_filler:
            room = room - run.needs
    return room
