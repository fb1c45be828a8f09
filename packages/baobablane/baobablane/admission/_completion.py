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

    `age_seconds` is the age of `load`; the pool has done work since then. While all its
    work is in time, small jobs of an account go before larger ones. If sizes are spread
    evenly up to twice their mean, the part of the work in jobs below a size is
    (size / (2 * mean)) ** 2.
    """
    rate = load.drain_rate + load.arriving_cores
    if rate <= 0:
        return Completion(math.inf, math.inf, math.inf)
    done = rate * age_seconds
    before_in_time, before_late = _work_of_others(demand, load, standing)
    own_in_time, own_late, jobs = _own_work(demand, load)
    mean = (own_in_time + own_late) / jobs if jobs else 0.0
    smaller_part = min(1.0, (demand.core_seconds / (2 * mean)) ** 2) if mean else 1.0
    # Running tasks do not count: the job starts when the first of them have ended.
    ahead = max(0.0, before_in_time + smaller_part * own_in_time - done)
    if ahead / rate + demand.critical_path_seconds > demand.objective_seconds:
        # The job becomes late while it waits, and then all earlier jobs go first.
        work = before_in_time + before_late + own_in_time + own_late
        ahead = max(0.0, work - done)
    wait = ahead / rate
    return Completion(ahead, wait, wait + demand.critical_path_seconds)


def _own_work(demand: JobDemand, load: PoolLoad) -> tuple[float, float, int]:
    for row in load.accounts:
        if row.account == demand.account and row.priority == demand.priority:
            return row.in_time, row.late, row.jobs
    return 0.0, 0.0, 0


def _work_of_others(
    demand: JobDemand, load: PoolLoad, standing: float
) -> tuple[float, float]:
    in_time = late = 0.0
    for row in load.accounts:
        if row.priority < demand.priority or (
            row.priority == demand.priority and row.standing < standing
        ):
            in_time += row.in_time
            late += row.late
    return in_time, late
