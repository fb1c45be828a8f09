"""Skip steps that cannot fit in the current planning round.

Load pattern: during a burst, a full pool has hundreds of waiting jobs. Room only
shrinks during a round, so a step that needs at least as much as one that found no room
is not tried.
"""

from ..deployment import Resources
from ..jobs import Step


class FullPools:
    """Collect the needs that found no room in each pool during one round."""

    def __init__(self) -> None:
        """Start a round in which every step is tried."""
        self._needs_by_pool: dict[str, list[Resources]] = {}

    def record_no_room(self, pool: str, step: Step) -> None:
        """Record that a step found no room, unless it also waits for something else."""
        if waits_for_room_only(step):
            self._needs_by_pool.setdefault(pool, []).append(step.needs)

    def has_no_room_for(self, pool: str, step: Step) -> bool:
        """Return whether a step needs at least as much as one that found no room."""
        if step.is_filler or step.is_lasting:
            # A filler reserves no CPU, and an upstream may be reserved for a
            # long-running task.
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
