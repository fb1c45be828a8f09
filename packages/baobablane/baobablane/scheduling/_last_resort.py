"""Let ejected upstreams take what the healthy ones of their pool can never run.

Load pattern: an upstream with the only accelerator of a pool fails for some seconds and
is ejected. Others do most of the pool's work, but tasks with its label would wait for
as long as it stays closed.
"""

from collections.abc import Collection

from ._later_room import count_later_places
from ._state import SchedulerState
from ._step_run import StepRun
from ._upstream import Upstream


def find_last_resort(
    state: SchedulerState,
    pool: str,
    step_run: StepRun,
    ejected: Collection[Upstream],
    now: float,
) -> list[Upstream]:
    """Return the ejected upstreams that may get a step's tasks, if no healthy one can.

    `ejected` are the ejected upstreams of the pool that would take tasks now. A healthy
    one that is full or rejects starts for a moment will take some again. A gang counts
    as a whole, and may use what is returned together with the healthy ones.
    """
    if not ejected:
        return []
    placed = step_run.placed_by_upstream()
    wanted = step_run.step.count if step_run.step.is_gang else 1
    for upstream in state.upstreams.values():
        if (
            upstream.entry.pool == pool
            and upstream.is_usable()
            and not state.is_evacuated(upstream)
            and not state.ejections.is_ejected(upstream.id, now)
        ):
            wanted -= _count_places(state, step_run, upstream, placed)
            if wanted <= 0:
                return []
    return [
        upstream
        for upstream in ejected
        if state.ejections.may_retry(upstream.id, now)
        and _count_places(state, step_run, upstream, placed)
    ]


def _count_places(
    state: SchedulerState,
    step_run: StepRun,
    upstream: Upstream,
    placed_by_upstream: dict[str, int],
) -> int:
    """Return how many more tasks an upstream could run without its short tasks."""
    if state.advice.is_rejected(step_run.key(), upstream.id):
        return 0
    return count_later_places(step_run, upstream, placed_by_upstream)
