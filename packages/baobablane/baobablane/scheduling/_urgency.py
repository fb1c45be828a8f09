"""Order jobs by urgency.

Load pattern: during its burst, the demand of a queue is about five times its mean,
which is more than its pool can finish in time. Jobs that can still meet their objective
start first, ordered by their latest possible start; late jobs get what is left, so that
a backlog does not make every later job late as well.
"""

from ..deployment import Queue
from ._job_run import JobRun

# A result that takes this multiple of its objective is useless.
USELESS_MULTIPLE = 3.0


def objective_seconds(job_run: JobRun, queue: Queue, critical_path_ms: float) -> float:
    """Return the time within which a job should be done, in seconds."""
    return (queue.slack_factor * critical_path_ms + queue.target_latency_ms) / 1000


def urgency_key(
    job_run: JobRun, queue: Queue | None, unix_ms: int, cores_per_weight: float
) -> tuple[float, float, float, float]:
    """Return a sort key that puts the most urgent job first.

    The key consists of the group (long-running, in time, late, unknown queue), the
    queue's priority, the cores per weight of a late job's account, and the latest start
    in Unix ms, or the time of acceptance in the first and last group.
    """
    if job_run.job.is_lasting():
        return (0.0, 0.0, 0.0, float(job_run.job.accepted_ms))
    if queue is None:
        return (3.0, 0.0, 0.0, float(job_run.job.accepted_ms))
    critical_path_ms = job_run.declared_critical_path_ms
    objective_ms = objective_seconds(job_run, queue, critical_path_ms) * 1000
    due_ms = job_run.latest_due_ms() + objective_ms
    latest_start_ms = due_ms - job_run.remaining_critical_path_ms()
    is_late = unix_ms > latest_start_ms
    return (
        2.0 if is_late else 1.0,
        float(queue.priority),
        cores_per_weight if is_late else 0.0,
        latest_start_ms,
    )
