"""Tell what an upstream can hold once its short tasks have ended.

Long-running tasks may stay for hours, so nothing may wait for the room that they take.
"""

from collections.abc import Mapping

from ..deployment import NO_RESOURCES, Resources
from ..jobs import Step
from ._placement import may_run
from ._step_run import StepRun
from ._upstream import Upstream


def room_without_short_runs(upstream: Upstream) -> Resources:
    """Return the room that an upstream has once its short tasks have ended."""
    room = upstream.entry.capacity
    for run in upstream.runs.values():
        if run.is_lasting and not run.is_filler:
            room = room - run.needs
    return room


def count_later_places(
    step_run: StepRun, upstream: Upstream, placed_by_upstream: Mapping[str, int]
) -> int:
    """Return how many more tasks of a step an upstream can hold then."""
    step, room = step_run.step, room_without_short_runs(upstream)
    most = step.count
    if step.most_per_upstream:
        placed = placed_by_upstream.get(upstream.id, 0)
        most = max(0, step.most_per_upstream - placed)
    if not may_run(step, upstream, room):
        return 0
    return count_places(step, room, most)


def count_places(step: Step, room: Resources, most: int) -> int:
    """Return how many tasks of a step fit into a room, `most` at most."""
    needs, places = needed_room(step), 0
    if needs == NO_RESOURCES:
        return most
    while places < most and needs.fits_in(room):
        room = room - needs
        places += 1
    return places


def needed_room(step: Step) -> Resources:
    """Return what a task takes of an upstream's room."""
    if step.is_filler:
        return Resources(0, step.needs.memory_mb, step.needs.gpus)
    return step.needs
