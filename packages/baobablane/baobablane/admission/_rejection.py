"""Decide whether a new job is rejected because its result would come too late.

Load pattern: one account sends several times its usual rate into a pool that is full.
Without rejections, its results come after three times their objective, when they are
worth nothing, and its callers do not know.
"""

import math
from dataclasses import dataclass

from ..scheduling import USELESS_MULTIPLE
from ._completion import predict_completion
from ._job_demand import JobDemand
from ._load_summary import LoadSummary
from ._pool_load import PoolLoad
from ._retry_slot import retry_slot_seconds

# Records come at intervals of 0.5 s, and a view is up to 0.9 s old.
MAX_LOAD_AGE_SECONDS = 1.5


@dataclass(frozen=True, slots=True)
class Rejection:
    """Hold why a job is rejected, and when it should come back."""

    pool: str
    ahead_core_seconds: float
    predicted_seconds: float
    retry_after_seconds: int
    age_seconds: float
    version: int
    # How long the job could have waited and still have been in time.
    latest_start_seconds: float
    # Work that the pool had done by the time of the summary.
    pool_drained: float


def decide_rejection(
    demand: JobDemand, summary: LoadSummary | None, age_seconds: float
) -> Rejection | None:
    """Return the rejection of a new job, or None if it is to be accepted.

    `age_seconds` is the age of the summary, which may be missing.
    """
    if summary is None or age_seconds >= MAX_LOAD_AGE_SECONDS:
        return None
    load = summary.pools_by_name.get(demand.pool)
    if load is None or not demand.may_be_rejected or not load.is_backlogged():
        return None
    standing = _standing(demand, load)
    if standing <= 0 or _has_room(demand, load):
        return None
    completion = predict_completion(demand, load, standing, age_seconds)
    limit_seconds = USELESS_MULTIPLE * demand.objective_seconds
    # Without any capacity, it is unknown when the job should come back.
    if not limit_seconds < completion.seconds < math.inf:
        return None
    return Rejection(
        demand.pool,
        completion.ahead_core_seconds,
        completion.seconds,
        retry_slot_seconds(
            demand.id, completion.seconds - limit_seconds, completion.wait_seconds
        ),
        age_seconds,
        summary.version,
        demand.objective_seconds - demand.critical_path_seconds,
        load.drained,
    )


def _standing(demand: JobDemand, load: PoolLoad) -> float:
    """Return the standing of the job's account, or 0.0 if it has no waiting work."""
    return max(
        (row.standing for row in load.accounts if row.account == demand.account),
        default=0.0,
    )


def _has_room(demand: JobDemand, load: PoolLoad) -> bool:
    # Room that stays free while others wait is too small for them, not for this job.
    return (
        demand.first_cores <= load.free_cores
        and demand.largest_task_cores <= load.largest_room_cores
    )
