"""Order jobs by urgency.

Load pattern: during its burst, the demand of a queue is about five times its mean,
which is more than its pool can finish in time. Jobs that can still meet their objective
start first, ordered by their latest possible start; late jobs get what is left, those
whose results are still of use before the others, so that a backlog does not make every
later job late as well. Under pressure, jobs in time that have begun are finished first,
and of the others those with less work left begin first.
"""

from enum import IntEnum

from ..deployment import Queue, QueueRules
from ._job_run import JobRun
from ._run_times import RunTimes

# A result that takes this multiple of its objective is useless.
USELESS_MULTIPLE = 3.0
# A begun job is served like one in time again, this long after its result became
# useless, so that new jobs do not overtake it indefinitely.
MAX_OVERTAKEN_MS = 10_000.0

# Group, priority of the queue, standing of the account, rank, urgency, and 0 for a job
# that has begun.
UrgencyKey = tuple[float, float, float, float, float, float]

# Ranks under pressure; without pressure, all jobs have the first.
FIRST_RANK = 0.0
UNBEGUN_RANK = 1.0
DOUBTFUL_RANK = 2.0
# In a full pool, the tasks of a step start one after another. A job that has less slack
# than this part of its critical path often ends late if it begins now.
MIN_SLACK = 0.2


class JobGroup(IntEnum):
    """Name the groups of jobs, in the order in which they are served."""

    LASTING = 0
    IN_TIME = 1
    LATE = 2
    # Of jobs whose account is beyond its share.
    EXCESS_IN_TIME = 3
    EXCESS_LATE = 4
    USELESS = 5
    UNKNOWN_RULES = 6


# Groups of jobs that can meet their objective.
IN_TIME_GROUPS = frozenset({JobGroup.IN_TIME, JobGroup.EXCESS_IN_TIME})
_EXCESS_GROUPS = {
    JobGroup.IN_TIME: JobGroup.EXCESS_IN_TIME,
    JobGroup.LATE: JobGroup.EXCESS_LATE,
}


def objective_seconds(rules: Queue | QueueRules, critical_path_ms: float) -> float:
    """Return the time within which a job should be done, in seconds."""
    return (rules.slack_factor * critical_path_ms + rules.target_latency_ms) / 1000


def urgency_key(
    job_run: JobRun,
    rules: Queue | QueueRules | None,
    unix_ms: int,
    standing: float,
    run_times: RunTimes,
    pressure: bool,
) -> UrgencyKey:
    """Return a sort key that puts the most urgent job first.

    `standing` tells how far the job's account is beyond its share, and `pressure`
    whether the work of the pool's jobs in time exceeds its capacity.
    """
    accepted_ms = float(job_run.job.accepted_ms)
    if job_run.is_lasting:
        return (float(JobGroup.LASTING), 0.0, 0.0, FIRST_RANK, accepted_ms, 0.0)
    if rules is None:
        return (float(JobGroup.UNKNOWN_RULES), 0.0, 0.0, FIRST_RANK, accepted_ms, 0.0)
    work = job_run.work(run_times)
    objective_ms = objective_seconds(rules, work.critical_path_ms) * 1000
    latest_start_ms = job_run.latest_due_ms() + objective_ms - work.remaining_path_ms
    useless_from_ms = latest_start_ms + (USELESS_MULTIPLE - 1.0) * objective_ms
    has_begun = job_run.has_begun()
    if unix_ms <= latest_start_ms:
        group = JobGroup.IN_TIME
    elif unix_ms <= useless_from_ms:
        group = JobGroup.LATE
    elif has_begun and unix_ms > useless_from_ms + MAX_OVERTAKEN_MS:
        group = JobGroup.IN_TIME
    else:
        group = JobGroup.USELESS
    rank, urgency = FIRST_RANK, latest_start_ms
    # Late jobs stay in the order of their due times: ordered by work, more of them
    # became useless.
    if pressure and not has_begun and group is JobGroup.IN_TIME:
        rank, urgency = UNBEGUN_RANK, work.remaining_core_seconds
        if latest_start_ms - unix_ms < MIN_SLACK * work.remaining_path_ms:
            rank = DOUBTFUL_RANK
    if standing > 0.0:
        # It delays not even a late job of an account within its share.
        group = _EXCESS_GROUPS.get(group, group)
    return (
        float(group),
        float(rules.priority),
        standing,
        rank,
        urgency,
        # Of two jobs with equal urgency, one that has begun goes first.
        0.0 if has_begun else 1.0,
    )
