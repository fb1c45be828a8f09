"""Let an ejected upstream take what no healthy one of its pool can ever run.

Load pattern: an upstream with the only accelerator of a pool fails for some seconds and
is ejected. Others do most of the pool's work, but tasks with its label would wait for
as long as it stays closed.
"""

from collections.abc import Collection

from ._placement import may_run
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
    one that is full or rejects starts for a moment will take some again.
    """
    if not ejected:
        return []
    placed = step_run.placed_by_upstream()
    for upstream in state.upstreams.values():
        if (
            upstream.entry.pool == pool
            and upstream.is_usable()
            and not state.is_evacuated(upstream)
            and not state.ejections.is_ejected(upstream.id, now)
            and _could_run(state, step_run, upstream, placed)
        ):
            return []
    return [
        upstream
        for upstream in ejected
        if state.ejections.may_retry(upstream.id, now)
        and _could_run(state, step_run, upstream, placed)
    ]


def _could_run(
    state: SchedulerState,
    step_run: StepRun,
    upstream: Upstream,
    placed_by_upstream: dict[str, int],
) -> bool:
    """Return whether an upstream could run one more task if it were empty."""
    step = step_run.step
    if 0 < step.most_per_upstream <= placed_by_upstream.get(upstream.id, 0):
        return False
    if not may_run(step, upstream, upstream.entry.capacity):
        return False
    return not state.advice.is_rejected(step_run.key(), upstream.id)
