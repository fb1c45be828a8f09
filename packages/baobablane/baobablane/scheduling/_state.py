"""Hold the scheduler's belief, and the few ways in which it changes."""

from collections import defaultdict

from ..deployment import Configuration
from ..jobs import JobState, TaskId, TaskState
from ..routing import EjectionPolicy, EjectionTable
from ._account_usage import AccountUsage
from ._advice import AdviceTable
from ._bounds import SchedulingBounds
from ._event import SchedulingEvent
from ._job_run import JobRun
from ._upstream import Run, Upstream

# Sound tasks hardly ever fail by themselves, so two failures are enough evidence.
EJECTION_POLICY = EjectionPolicy(
    min_failures=2.0, min_failure_ratio=0.3, min_excess_over_peers=0.2
)


class SchedulerState:
    """Hold jobs, upstreams and usage; every change of a run goes through here."""

    def __init__(self, bounds: SchedulingBounds) -> None:
        """Start empty."""
        self.bounds = bounds
        self.configuration = Configuration(0)
        self.jobs: dict[str, JobRun] = {}
        self.upstreams: dict[str, Upstream] = {}
        self.usage = AccountUsage()
        self.advice = AdviceTable()
        self.ejections = EjectionTable(EJECTION_POLICY)
        # Declared core-seconds of the jobs that ever arrived, by pool.
        self.arrived: dict[str, float] = defaultdict(float)
        self.arrived_jobs: dict[str, int] = defaultdict(int)
        self.dirty: set[str] = set()
        self.events: list[SchedulingEvent] = []
        # Upstreams on which a task failed last, by task.
        self.failed_on: dict[TaskId, str] = {}
        # How often a task's runs stood still, by task.
        self.stalls: dict[TaskId, int] = {}
        # When an upstream that answers was last seen to have left a start unanswered.
        self.orders_lost_at = float("-inf")
        # Runs that were stopped by a decision, so that their end is no failure.
        self.wasted_by_reason: dict[str, int] = defaultdict(int)

    def note(self, event: str, task: TaskId, run: int = 0, **inputs: object) -> None:
        """Keep a decision for the log."""
        name = f"{task.occurrence}.{task.step}.{task.position}"
        self.events.append(
            SchedulingEvent(event, task.job, name, run, **inputs)  # type: ignore[arg-type]
        )

    def pool_of(self, job_run: JobRun) -> str:
        """Return the pool that the configuration in force gives a job's queue."""
        queue = self.configuration.queues_by_name.get(job_run.job.queue)
        return queue.pool if queue else job_run.job.pool

    def begin(self, run: Run, upstream: Upstream, now: float) -> None:
        """Count a run whose start is about to be recorded."""
        upstream.add(run)
        self.usage.add(run.account, run.needs)
        self.ejections.record_sent(upstream.id, now)
        self.dirty.add(run.task.job)

    def release(self, upstream: Upstream, task: TaskId) -> Run | None:
        """Stop counting a run that has ended."""
        run = upstream.remove(task)
        if run is not None:
            self.usage.remove(run.account, run.needs)
            # A run that tells nothing of the upstream's health ends its probe, too.
            self.ejections.record_inconclusive(upstream.id)
        return run

    def requeue(self, upstream: Upstream, task: TaskId, reason: str) -> None:
        """Let a task wait again after its run came to nothing."""
        run = self.release(upstream, task)
        job_run = self.jobs.get(task.job)
        found = job_run.find(task) if job_run else None
        if found is None or run is None:
            return
        step_run, progress = found
        if progress.state is not TaskState.STARTED or progress.run != run.run:
            return
        progress.state = TaskState.WAITING
        step_run.waiting.add(task.position)
        self.dirty.add(task.job)
        self.wasted_by_reason[reason] += 1
        self.note(
            "task-waits-again", task, run.run, upstream=upstream.id, reason=reason
        )

    def blame_stall(self, upstream: Upstream, run: Run, now: float) -> None:
        """Count a run that stands still against its upstream and its task."""
        self.stalls[run.task] = self.stalls.get(run.task, 0) + 1
        self.failed_on[run.task] = upstream.id
        is_ejected = self.blame(upstream, now)
        reason = "upstream ejected" if is_ejected else ""
        age = now - run.percent_since
        self.note(
            "task-stalled",
            run.task,
            run.run,
            upstream=upstream.id,
            age=age,
            reason=reason,
        )

    def blame(self, upstream: Upstream, now: float) -> bool:
        """Count a failure against an upstream; return whether that ejects it."""
        pool = [
            other.id
            for other in self.upstreams.values()
            if other.entry.pool == upstream.entry.pool
        ]
        return self.ejections.record_failure(upstream.id, pool, now)

    def settle(self, job_run: JobRun, state: JobState, reason: str) -> None:
        """Give a job its final state."""
        if job_run.state.is_final():
            return
        job_run.state = state
        self.dirty.add(job_run.job.id)
        self.events.append(
            SchedulingEvent(f"job-{state.name.lower()}", job_run.job.id, reason=reason)
        )
