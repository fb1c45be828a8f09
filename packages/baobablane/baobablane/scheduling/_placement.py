"""Choose an upstream for a task.

Load pattern: the queues have their bursts at different times, so a pool is either idle
or full. Short tasks are packed so that whole instances stay idle and can be released.
The long-running tasks of a step share two upstreams, in different racks if possible:
with one upstream, a crash would end all of them; with more, few instances would be
idle. Short tasks use upstreams that are slow or have lost capacity only when all
others are full; data racks go before that, because a remote task takes twice as long.
"""

from collections.abc import Collection, Mapping

from ..deployment import Resources
from ..jobs import Step, TaskId
from ._step_run import StepRun
from ._upstream import Upstream


def choose_upstream(
    step_run: StepRun,
    candidates: Collection[Upstream],
    placed_by_upstream: dict[str, int],
    avoided_id: str,
) -> Upstream | None:
    """Return the best upstream with room for one more task, or None.

    `placed_by_upstream` counts the step's tasks that are started or about to start on
    each upstream. `avoided_id` names the upstream where the task last failed, stalled
    or became unreachable; it is chosen only if no other fits.
    """
    step = step_run.step
    hosting = [u for u in candidates if u.id in placed_by_upstream]
    cpu_millis = 0 if step.is_filler else step.needs.cpu_millis
    best: Upstream | None = None
    best_score: tuple[float, ...] | None = None
    for upstream in candidates:
        if upstream.entry.capacity.cpu_millis - upstream.used.cpu_millis < cpu_millis:
            # Most upstreams of a full pool are rejected here, before a copy is made.
            continue
        placed = placed_by_upstream.get(upstream.id, 0)
        if step.most_per_upstream and placed >= step.most_per_upstream:
            continue
        labels = upstream.entry.labels
        room = upstream.room()
        if not may_run(step, upstream, room):
            continue
        score = (
            float(upstream.id == avoided_id),
            float(bool(step.data_rack) and step.data_rack not in labels),
            float(not step.is_lasting and upstream.is_last_choice),
            *_placement_score(step_run, upstream, placed, room, hosting),
        )
        if best_score is None or score < best_score:
            best, best_score = upstream, score
    return best


def without_own_run(upstreams: Collection[Upstream], task: TaskId) -> list[Upstream]:
    """Return the upstreams that may not run a task already.

    A task that may run twice waits for its copy while its first run may still exist.
    Beside that, a copy is of no use, and an upstream's table holds one run of a task.
    """
    return [upstream for upstream in upstreams if task not in upstream.runs]


def may_run(step: Step, upstream: Upstream, room: Resources) -> bool:
    """Return whether an upstream has the label and the room that a task needs."""
    if step.required_label and step.required_label not in upstream.entry.labels:
        return False
    needs = step.needs
    if step.is_filler:
        needs = Resources(0, needs.memory_mb, needs.gpus)
    return needs.fits_in(room)


def has_room(
    step: Step, upstream: Upstream, placed_by_upstream: Mapping[str, int]
) -> bool:
    """Return whether an upstream can take one more task of a step now."""
    placed = placed_by_upstream.get(upstream.id, 0)
    if 0 < step.most_per_upstream <= placed:
        return False
    return may_run(step, upstream, upstream.room())


def _placement_score(
    step_run: StepRun,
    upstream: Upstream,
    placed: int,
    room: Resources,
    hosting: Collection[Upstream],
) -> tuple[float, ...]:
    step = step_run.step
    if step.is_filler:
        serving = sum(r.is_lasting and not r.is_filler for r in upstream.runs.values())
        return (placed, serving, -room.cpu_millis)
    if step.is_lasting:
        half = -(-step.count // 2)
        lasting = sum(run.is_lasting for run in upstream.runs.values())
        return (placed >= half, -placed, _shared_labels(upstream, hosting), -lasting)
    return (0.0, 0.0, room.cpu_millis)


def _shared_labels(upstream: Upstream, hosting: Collection[Upstream]) -> int:
    return sum(
        len(upstream.entry.labels & other.entry.labels)
        for other in hosting
        if other.id != upstream.id
    )
