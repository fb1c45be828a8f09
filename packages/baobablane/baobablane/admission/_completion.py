"""Predict when a new job completes.

Load pattern: one account sends several times its usual rate into a pool that is full.
Its jobs wait for the work of accounts that are less far beyond their share, and for its
own. The prediction counts only work that certainly goes first, so that it is too early
rather than too late.
"""

import math
from dataclasses import dataclass

from ._job_demand import JobDemand
from ._pool_load import PoolLoad


@dataclass(frozen=True, slots=True)
class Completion:
    """Hold a predicted completion, in seconds from now."""

    # Core-seconds that go first, and the time that the pool takes for them.
    ahead_core_seconds: float
    wait_seconds: float
    seconds: float


def predict_completion(
    demand: JobDemand, load: PoolLoad, standing: float, age_seconds: float
) -> Completion:
    """Return when a job of an account with a standing completes.

    `age_seconds` is the age of `load`; the pool has done work since then.
    """
    rate = load.drain_rate + load.arriving_cores
    if rate <= 0:
        return Completion(math.inf, math.inf, math.inf)
    in_time, late = _work_ahead(demand, load, standing)
    done = rate * age_seconds
    ahead = max(0.0, load.running + in_time - done)
    if ahead / rate + demand.critical_path_seconds > demand.objective_seconds:
        # The job becomes late while it waits, and then late jobs go first too.
        ahead = max(0.0, load.running + in_time + late - done)
    wait = ahead / rate
    return Completion(ahead, wait, wait + demand.critical_path_seconds)


def _work_ahead(
    demand: JobDemand, load: PoolLoad, standing: float
) -> tuple[float, float]:
    in_time = late = 0.0
    for row in load.accounts:
        if row.account == demand.account and row.priority == demand.priority:
            # In a full pool, a small job goes before larger ones of its account.
            mean = (row.in_time + row.late) / max(1, row.jobs)
            part = min(1.0, demand.core_seconds / mean) if mean else 1.0
            in_time += part * row.in_time
            late += part * row.late
        elif row.priority < demand.priority or (
            row.priority == demand.priority and row.standing < standing
        ):
            in_time += row.in_time
            late += row.late
    return in_time, late
