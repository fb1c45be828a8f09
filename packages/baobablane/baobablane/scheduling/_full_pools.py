"""Skip steps that cannot fit in the current planning round.

Load pattern: during a burst, a full pool has hundreds of waiting jobs. Room only
shrinks during a round, so a step that needs at least as much as one for which no
upstream had room is not tried.
"""

from collections.abc import Collection, Mapping

from ..deployment import Resources
from ..jobs import Step
from ._room_wait import takes_one_more
from ._upstream import Upstream


class FullPools:
    """Collect the needs for which no upstream of a pool has room in one round."""

    def __init__(self) -> None:
        """Start a round in which every step is tried."""
        self._needs_by_pool: dict[str, list[Resources]] = {}

    def record_unplaced(
        self,
        pool: str,
        step: Step,
        upstreams: Collection[Upstream],
        young_runs: Mapping[str, int],
    ) -> None:
        """Record that no upstream has room for a step, unless one has.

        Whatever else the step waits for says nothing about other steps.
        """
        if step.is_filler or step.is_gang:
            return
        if not any(takes_one_more(step, u, young_runs) for u in upstreams):
            self._needs_by_pool.setdefault(pool, []).append(step.needs)

    def has_no_room_for(self, pool: str, step: Step) -> bool:
        """Return whether a step needs at least as much as one that found no room."""
        if step.is_filler or step.is_lasting or step.is_gang:
            # A filler reserves no CPU, an upstream may be reserved for a long-running
            # task, and a gang may start where others are limited.
            return False
        tried = self._needs_by_pool.get(pool, ())
        return any(needs.fits_in(step.needs) for needs in tried)


def waits_for_room_only(step: Step) -> bool:
    """Return whether a step can start as soon as an upstream has room for it."""
    return not (
        step.is_filler
        or step.is_lasting
        or step.is_gang
        or step.required_label
        or step.most_per_upstream
    )
