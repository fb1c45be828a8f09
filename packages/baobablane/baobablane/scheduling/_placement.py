"""Choose an upstream for a task.

Load pattern: queues take turns, so a pool is idle or full. Short tasks are packed so
that whole instances stay idle and can be given back; lasting tasks are spread so that
one crash or one upkeep costs a job no more than one of them.
"""

from collections.abc import Iterable

from ..deployment import Resources
from ._step_run import StepRun
from ._upstream import Upstream


def choose_upstream(
    step_run: StepRun,
    candidates: Iterable[Upstream],
    placed_by_upstream: dict[str, int],
    avoided: str,
) -> Upstream | None:
    """Return the best upstream with room for one more task, or None.

    `avoided` is the upstream where the task last failed; it is taken only where no
    other fits.
    """
    step = step_run.step
    needs = step.needs
    if step.is_filler:
        needs = Resources(0, needs.memory_mb, needs.gpus)
    best: Upstream | None = None
    best_score: tuple[float, ...] | None = None
    for upstream in candidates:
        placed = placed_by_upstream.get(upstream.id, 0)
        if step.most_per_upstream and placed >= step.most_per_upstream:
            continue
        labels = upstream.entry.labels
        if step.required_label and step.required_label not in labels:
            continue
        room = upstream.room()
        if not needs.fits_in(room):
            continue
        score = (
            float(upstream.id == avoided),
            float(bool(step.data_rack) and step.data_rack not in labels),
            *_spread_score(step_run, upstream, placed, room),
        )
        if best_score is None or score < best_score:
            best, best_score = upstream, score
    return best


def _spread_score(
    step_run: StepRun, upstream: Upstream, placed: int, room: Resources
) -> tuple[float, ...]:
    step = step_run.step
    if step.is_filler:
        serving = sum(r.is_lasting and not r.is_filler for r in upstream.runs.values())
        return (placed, serving, -room.cpu_millis)
    if step.is_lasting:
        lasting = sum(run.is_lasting for run in upstream.runs.values())
        return (placed, lasting, -room.cpu_millis)
    return (0.0, 0.0, room.cpu_millis)
