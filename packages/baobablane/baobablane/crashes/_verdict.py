"""Decide from its lost runs whether a task crashes the upstreams that start it.

Load pattern: a few tasks among thousands crash their upstream as they start, and the
tasks that started there at the same time are lost with it. Upstreams also crash for
other reasons, by the rack, under whatever they run.
"""

from collections.abc import Iterable

from ..jobs import RunLoss

MIN_INSTANCES = 2
# If one instance is all that a pool has, this many crashes of it are enough.
MIN_CRASHES_OF_ONE_INSTANCE = 3


def is_deadly(losses: Iterable[RunLoss]) -> bool:
    """Return whether the lost runs show that their task crashes upstreams.

    Several upstreams must have crashed under it, at least once while no other run there
    could have been the cause. Beside other suspects, it must have been seen to start.
    """
    crashes = [
        loss
        for loss in losses
        if loss.is_crash and (loss.is_started or loss.suspects == 1)
    ]
    if not any(loss.suspects == 1 for loss in crashes):
        return False
    instances = {loss.instance or loss.upstream for loss in crashes}
    return (
        len(instances) >= MIN_INSTANCES or len(crashes) >= MIN_CRASHES_OF_ONE_INSTANCE
    )
