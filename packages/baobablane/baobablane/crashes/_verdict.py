"""Decide from its lost runs whether a task crashes the upstreams that start it.

Load pattern: a few tasks among thousands crash their upstream as they start, and the
tasks that started there at the same time are lost with it. Upstreams also crash for
other reasons, by the rack, under whatever they run.
"""

from collections.abc import Iterable
from itertools import combinations

from ..jobs import RunLoss

# This many crashes are enough wherever they were, as a pool may have only one instance
# or one rack.
MIN_CRASHES = 3
# The same if owners changed during the trials, so that it is unknown whether the task
# had just been started. After three crashes, a task may be started twice more.
MIN_UNSEEN_CRASHES = 5
# The same of runs that had settled, beside which many others may have been the cause.
MIN_LATE_CRASHES = 5


def is_deadly(losses: Iterable[RunLoss]) -> bool:
    """Return whether the lost runs show that their task crashes upstreams.

    Several upstreams must have crashed under it, two of them without a place in common,
    and at least one while no other run there could have been the cause. Beside other
    suspects, it must have been seen to start. Two crashes are not enough if it is
    doubtful whether it began before both.
    """
    confirmed = [loss for loss in losses if loss.is_crash]
    if sum(loss.suspects <= 1 for loss in confirmed) >= MIN_UNSEEN_CRASHES:
        return True
    crashes = [loss for loss in confirmed if loss.is_started or loss.suspects == 1]
    if not any(loss.suspects == 1 for loss in crashes):
        return False
    if len(crashes) >= MIN_CRASHES:
        return True
    sure = [loss for loss in crashes if not loss.is_start_doubtful]
    return any(_are_apart(first, second) for first, second in combinations(sure, 2))


def is_late_cause(losses: Iterable[RunLoss]) -> bool:
    """Return whether lost runs that had settled show that their task crashes upstreams.

    It says nothing of the tasks that were lost in the same crashes.
    """
    crashes = [loss for loss in losses if loss.is_crash]
    return len(crashes) >= MIN_LATE_CRASHES and any(
        _are_apart(first, second) for first, second in combinations(crashes, 2)
    )


def _are_apart(first: RunLoss, second: RunLoss) -> bool:
    """Return whether two crashes were on instances that share no label."""
    instances = {loss.instance or loss.upstream for loss in (first, second)}
    return len(instances) > 1 and not set(first.labels) & set(second.labels)
