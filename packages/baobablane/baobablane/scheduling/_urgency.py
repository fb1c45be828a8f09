"""Order jobs by who should start next.

Load pattern: in its turn a queue asks for about five times its mean, more than its
pool can finish in time. Work that can still meet its objective goes first, earliest
latest start ahead; work that can't any more takes what is left, so that a backlog
never makes every later job late as well.
"""

from ..deployment import Queue
from ._job_run import JobRun

# An objective is missed beyond use at this multiple of it.
USELESS_MULTIPLE = 3.0


def objective_seconds(job_run: JobRun, queue: Queue, critical_path_ms: float) -> float:
    """Return the time in which a job should be done, in seconds."""
    return (queue.slack_factor * critical_path_ms + queue.target_latency_ms) / 1000


def urgency_key(
    job_run: JobRun, queue: Queue | None, unix_ms: int, account_share: float
) -> tuple[float, float, float, float]:
    """Return a key by which the most urgent job sorts first."""
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
        account_share if is_late else 0.0,
        latest_start_ms,
    )
