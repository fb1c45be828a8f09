"""Define what a decision on a job needs to know about it."""

from dataclasses import dataclass

from ..deployment import Queue
from ..jobs import Job
from ..scheduling import JobRun, RunTimes, objective_seconds


@dataclass(frozen=True, slots=True)
class JobDemand:
    """Hold a new job's account and queue, its work and its objective."""

    id: str
    account: str
    pool: str
    priority: int
    core_seconds: float
    critical_path_seconds: float
    objective_seconds: float
    # Cores of all tasks of the steps that can start first, and of the largest of them.
    first_cores: float
    largest_task_cores: float
    # Long-running and periodic jobs are never rejected.
    may_be_rejected: bool


def describe_demand(job: Job, queue: Queue) -> JobDemand:
    """Return what the decision on a new job needs."""
    run = JobRun(job, None, 0.0)
    critical_path_ms = run.work(RunTimes()).critical_path_ms
    first_steps = [step for step in job.steps if not step.after]
    cores = [step.needs.cpu_millis / 1000 for step in first_steps]
    return JobDemand(
        job.id,
        job.account,
        queue.pool,
        queue.priority,
        job.declared_core_seconds(),
        critical_path_ms / 1000,
        objective_seconds(queue, critical_path_ms),
        sum(step.count * c for step, c in zip(first_steps, cores, strict=True)),
        max(cores, default=0.0),
        not (job.is_lasting() or job.is_periodic()),
    )
