"""Hold the scheduler's state and the operations that change it."""

from collections import Counter, defaultdict
from collections.abc import Mapping

from ..deployment import Configuration, Queue, QueueRules, UpstreamEntry
from ..jobs import Job, JobProgress, JobState, TaskId, TaskState
from ..routing import EjectionPolicy, EjectionTable
from ._account_standings import AccountStandings
from ._account_usage import AccountUsage
from ._advice import AdviceTable
from ._event import CRASH_EVENT, SchedulingEvent
from ._inherited_lease import InheritedLease
from ._job_apart import JobApart
from ._job_retry import JobRetry
from ._job_run import JobRun
from ._late_loss_table import LateLossTable
from ._lost_upstream import LostUpstream
from ._placement import has_room
from ._policy import SchedulingPolicy
from ._run_times import RunTimes
from ._size_classes import SizeClasses
from ._step_run import StepRun
from ._suspects import SuspectTable
from ._upstream import Run, Upstream
from ._upstream_speeds import UpstreamSpeeds
from ._urgency import objective_seconds
from ._wait_table import WaitTable

# Of a job whose queue is gone and whose record has no rules: each queue allows one.
MIN_ATTEMPTS = 1
# Tasks rarely fail on a healthy upstream, so two failures are enough to eject one.
EJECTION_POLICY = EjectionPolicy(
    min_failures=2.0, min_failure_ratio=0.3, min_excess_over_peers=0.2
)


class SchedulerState:
    """Hold jobs, upstreams and usage; runs are added and removed only here."""

    def __init__(
        self,
        policy: SchedulingPolicy,
        inherited: Mapping[str, InheritedLease],
        began_at: float,
        settled_ms: int = 0,
    ) -> None:
        """Start without jobs and upstreams; leases are `inherited` by upstream.

        Runs that were started by `settled_ms`, in Unix milliseconds, had settled under
        an earlier owner.
        """
        self.policy = policy
        self._began_at = began_at
        self.inherited_by_upstream = inherited
        self.settled_ms = settled_ms
        # The latest such time that this owner or an earlier one has told, and the
        # latest recorded start. Unix clocks differ and jump; starts are recorded as
        # later than all that was told before.
        self.told_settled_ms = settled_ms
        self.latest_start_ms = 0
        # Starts, in Unix milliseconds, of the lost runs that no record tells of yet,
        # and of those of which the record is on its way.
        self.unrecorded_lost_starts: list[int] = []
        self.lost_starts_in_writing: list[int] = []
        self.configuration = Configuration(0)
        # Zones in which nothing may start, and whether anything may start at all.
        self.evacuated_zones: frozenset[str] = frozenset()
        self.allows_starts = True
        # Whether the latest round left out jobs, since it had enough starts.
        self.has_more_starts = False
        self.jobs: dict[str, JobRun] = {}
        self.upstreams: dict[str, Upstream] = {}
        self.usage = AccountUsage()
        self.standings = AccountStandings()
        self.run_times = RunTimes()
        self.size_classes = SizeClasses()
        self.speeds = UpstreamSpeeds()
        # Unix time less the time of the scheduler's clock, as of the latest round.
        self.unix_offset_seconds = 0.0
        # Pools whose work in time, without (False) and with (True) that of floods,
        # exceeds their capacity, until when that is assumed, and when it was measured.
        self.pressed_pools: frozenset[tuple[str, bool]] = frozenset()
        self.pressed_until: dict[tuple[str, bool], float] = {}
        self.pressure_measured_at = float("-inf")
        self.advice = AdviceTable()
        self.ejections = EjectionTable(EJECTION_POLICY)
        # Declared core-seconds of one occurrence of every job ever added to the
        # scheduler, by pool, and the sum of their squares.
        self.arrived_core_seconds: dict[str, float] = defaultdict(float)
        self.arrived_squares: dict[str, float] = defaultdict(float)
        self.dirty_jobs: set[str] = set()
        self.events: list[SchedulingEvent] = []
        # The upstream where each task last failed or stalled, or that became
        # unreachable while running it.
        self.last_failed_on: dict[TaskId, str] = {}
        # When a report of any upstream last showed that a start or its response had
        # been lost.
        self.last_message_loss_at = float("-inf")
        # Jobs on which work raised an error. They are not placed, and their runs go on;
        # after a while, each is resumed.
        self.apart_by_id: dict[str, JobApart] = {}
        self.retry_by_job: dict[str, JobRetry] = {}
        # Tasks with a run of this round, of which no start can have been sent.
        self.unsent_tasks: set[TaskId] = set()
        # Jobs in a final state that are not removed yet.
        self.final_jobs: set[str] = set()
        # Number of runs of each job that has any.
        self.run_count_by_job: Counter[str] = Counter()
        # Tasks with lost runs; the runs themselves are part of their progress.
        self.suspects = SuspectTable()
        # Tasks with lost runs that had settled.
        self.late_losses = LateLossTable()
        # Long-running tasks that don't run, to tell in the log why.
        self.waits = WaitTable()
        self.lost_upstreams: dict[str, LostUpstream] = {}
        # As the list of instances last showed it, and when that was requested.
        self.instance_by_upstream: dict[str, str] = {}
        self.listed_up: frozenset[str] = frozenset()
        self.listed_at = float("-inf")
        # How many runs were requeued, by reason.
        self.requeued_by_reason: dict[str, int] = defaultdict(int)

    def log_decision(
        self, event: str, task: TaskId, run: int = 0, **inputs: object
    ) -> None:
        """Queue a decision for the log."""
        name = f"{task.occurrence}.{task.step}.{task.position}"
        self.events.append(
            SchedulingEvent(event, task.job, name, run, **inputs)  # type: ignore[arg-type]
        )

    def log_crash(self, lost: LostUpstream, has_outside_cause: bool) -> None:
        """Queue the crash of an upstream for the log."""
        if has_outside_cause:
            reason = "outside"
        elif lost.has_trial:
            reason = "trial"
        else:
            reason = "suspects" if lost.suspects else "no suspect"
        self.events.append(
            SchedulingEvent(
                CRASH_EVENT,
                upstream=lost.upstream,
                incarnation=lost.incarnation,
                reason=reason,
                beside=lost.runs,
                core_seconds=lost.core_seconds,
            )
        )

    def log_truncated_report(self, upstream: Upstream, end_count: int) -> None:
        """Queue for the log that an upstream's list of ends may be cut off."""
        self.events.append(
            SchedulingEvent(
                "ends-truncated",
                upstream=upstream.id,
                incarnation=upstream.entry.incarnation,
                reason=f"{end_count} ends listed, {len(upstream.runs)} runs open",
            )
        )

    def needs_advice(self, step_run: StepRun) -> bool:
        """Return whether the placement advisor has to allow a step's upstreams."""
        rules = self.rules_of(step_run.job)
        return rules is not None and rules.needs_advice

    def advised(
        self, step_run: StepRun, upstreams: list[Upstream], now: float
    ) -> list[Upstream]:
        """Return the upstreams that the placement advisor allows, if it is needed."""
        if not self.needs_advice(step_run):
            return upstreams
        placed = step_run.placed_by_upstream()
        return self.advice.eligible(
            step_run.key(),
            upstreams,
            lambda upstream: has_room(step_run.step, upstream, placed),
            now,
        )

    def is_evacuated(self, upstream: Upstream) -> bool:
        """Return whether nothing may start on an upstream because of its zone."""
        return upstream.entry.zone in self.evacuated_zones

    def down_after_trial(self, pool: str, now: float) -> set[str]:
        """Return the upstreams of a pool that went down in a trial and are not back."""
        return {
            lost.upstream
            for lost in self.lost_upstreams.values()
            if lost.pool == pool and lost.is_down_after_trial(now)
        }

    def rules_of(self, job: Job) -> Queue | QueueRules | None:
        """Return the rules of a job's queue in the configuration in force.

        If the queue was dropped, those hold under which the job was accepted. None if
        an earlier build has accepted it, which did not record them.
        """
        return self.configuration.queues_by_name.get(job.queue) or job.rules

    def is_out_of_attempts(self, job: Job, failures: int) -> bool:
        """Return whether a task of a job has failed as often as it may."""
        rules = self.rules_of(job)
        return failures >= (rules.max_attempts if rules else MIN_ATTEMPTS)

    def pool_of(self, job_run: JobRun) -> str:
        """Return the pool of a job's queue in the configuration in force."""
        queue = self.configuration.queues_by_name.get(job_run.job.queue)
        return queue.pool if queue else job_run.job.pool

    def due_ms(self, job_run: JobRun) -> float | None:
        """Return when a job should be done, in Unix ms, or None for unknown rules."""
        rules = self.rules_of(job_run.job)
        if rules is None:
            return None
        critical_path_ms = job_run.work(self.run_times).critical_path_ms
        objective_ms = objective_seconds(rules, critical_path_ms) * 1000
        return job_run.latest_due_ms() + objective_ms

    def add_upstream(
        self, entry: UpstreamEntry, now: float, is_listed: bool = True
    ) -> Upstream:
        """Track an upstream that is not tracked yet."""
        upstream = Upstream(entry, now, is_listed=is_listed)
        upstream.owned_since = min(now, self._began_at)
        inherited = self.inherited_by_upstream.get(entry.id)
        if inherited is not None and inherited.incarnation == entry.incarnation:
            upstream.inherited_lease = inherited
        self.upstreams[entry.id] = upstream
        return upstream

    def add_run(self, run: Run, upstream: Upstream, now: float) -> None:
        """Add a run, and count its resources."""
        upstream.add(run)
        if run.needs_stop:
            upstream.may_need_stops = True
        self.run_count_by_job[run.task.job] += 1
        self.usage.add(run.account, run.needs)
        self.standings.add_run(run, upstream.entry.pool)
        self.ejections.record_sent(upstream.id, now)

    def remove_run(self, upstream: Upstream, task: TaskId) -> Run | None:
        """Remove a run that has ended, and free its resources."""
        run = upstream.remove(task)
        if run is not None:
            self.run_count_by_job[task.job] -= 1
            if not self.run_count_by_job[task.job]:
                del self.run_count_by_job[task.job]
            self.usage.remove(run.account, run.needs)
            self.standings.remove_run(run, upstream.entry.pool)
            job_run = self.jobs.get(task.job)
            step_run = job_run.find_step(task) if job_run else None
            if step_run is not None:
                step_run.note_gone(task.position, upstream.id)
            # Its end completes a probe of an ejected upstream, even if it does not show
            # whether the upstream is healthy.
            self.ejections.record_inconclusive(upstream.id)
        return run

    def note_begun(self, job_id: str) -> None:
        """Note that an upstream has begun a task of a job.

        An order alone doesn't show that: the upstream may have rejected it.
        """
        job_run = self.jobs.get(job_id)
        if job_run is not None and job_run.state is JobState.PENDING:
            job_run.state = JobState.RUNNING
            self.dirty_jobs.add(job_id)

    def requeue(self, upstream: Upstream, task: TaskId, reason: str) -> None:
        """Return a task to the waiting state after its run was lost."""
        run = self.remove_run(upstream, task)
        job_run = self.jobs.get(task.job)
        if run is None:
            return
        if job_run is None:
            apart = self.apart_by_id.get(task.job)
            if apart is None or not apart.note_lost_run(run, upstream.id):
                return
        else:
            found = job_run.find_task(task)
            if found is None:
                return
            step_run, progress = found
            if progress.state is not TaskState.STARTED or progress.run != run.number:
                return
            progress.state = TaskState.WAITING
            step_run.waiting.add(task.position)
        self.dirty_jobs.add(task.job)
        self.requeued_by_reason[reason] += 1
        self.log_decision(
            "task-waits-again", task, run.number, upstream=upstream.id, reason=reason
        )

    def count_stall(self, upstream: Upstream, run: Run, now: float) -> None:
        """Count a stalled run against its upstream and its task."""
        job_run = self.jobs.get(run.task.job)
        found = job_run.find_task(run.task) if job_run else None
        if found is not None:
            found[1].stalls += 1
            self.dirty_jobs.add(run.task.job)
        self.last_failed_on[run.task] = upstream.id
        is_ejected = self.count_failure(upstream, now)
        reason = "upstream ejected" if is_ejected else ""
        age_seconds = now - run.percent_changed_at
        self.log_decision(
            "task-stalled",
            run.task,
            run.number,
            upstream=upstream.id,
            age_seconds=age_seconds,
            reason=reason,
        )

    def count_failure(self, upstream: Upstream, now: float) -> bool:
        """Count a failure against an upstream, and return whether that ejects it."""
        upstreams_in_pool = [
            other.id
            for other in self.upstreams.values()
            if other.entry.pool == upstream.entry.pool
        ]
        return self.ejections.record_failure(upstream.id, upstreams_in_pool, now)

    def check_stops_of(self, job_id: str) -> None:
        """Check in the next round which runs of a job have to be stopped."""
        if job_id not in self.run_count_by_job:
            return
        for upstream in self.upstreams.values():
            if any(task.job == job_id for task in upstream.runs):
                upstream.may_need_stops = True

    def set_apart(self, job_id: str, error: Exception) -> None:
        """Stop all work on a job for a while after an unexpected error.

        Others go on. What is known of the job is recorded, as ends that were applied
        before the error will be acknowledged.
        """
        job_run = self.jobs.get(job_id)
        if job_run is not None:
            progress = job_run.open_progress()
            self.dirty_jobs.add(job_id)
            self.set_apart_unchanged(job_run.job, progress, error, job_run)
        elif job_id not in self.apart_by_id:
            self._log_set_apart(job_id, error)

    def set_apart_unchanged(
        self,
        job: Job,
        progress: JobProgress,
        error: Exception,
        job_run: JobRun | None,
    ) -> None:
        """Set a job apart whose progress needs no new record."""
        apart = JobApart(job, progress, repr(error), job_run)
        self.apart_by_id[job.id] = apart
        self.jobs.pop(job.id, None)
        self.suspects.remove_job(job.id)
        self.late_losses.remove_job(job.id)
        for upstream in self.upstreams.values():
            for task, run in list(upstream.runs.items()):
                if task.job == job.id and task in self.unsent_tasks:
                    self.remove_run(upstream, task)
                    apart.note_lost_run(run, upstream.id)
        if apart.is_final():
            self._await_removal(job.id)
        self._log_set_apart(job.id, error)

    def finish_apart(self, apart: JobApart, state: JobState, reason: str) -> None:
        """Set the final state of a job that is set apart, unless it has one."""
        if apart.is_final():
            return
        apart.progress.state = state
        self._await_removal(apart.job.id)
        self._log_final_state(apart.job, state, reason)

    def finish_job(
        self, job_run: JobRun, state: JobState, reason: str, outcome: str = ""
    ) -> None:
        """Set a job's final state, unless it has one."""
        if job_run.state.is_final():
            return
        job_run.state = state
        self.suspects.remove_job(job_run.job.id)
        self.late_losses.remove_job(job_run.job.id)
        self._await_removal(job_run.job.id)
        self._log_final_state(job_run.job, state, reason, outcome)

    def forget_job(self, job_id: str) -> None:
        """Forget a job whose end is recorded and that has no runs."""
        self.jobs.pop(job_id, None)
        self.apart_by_id.pop(job_id, None)
        self.retry_by_job.pop(job_id, None)
        self.standings.remove_job(job_id)
        self.advice.remove_job(job_id)

    def _await_removal(self, job_id: str) -> None:
        """Let a job in a final state be recorded, and its runs be stopped."""
        self.final_jobs.add(job_id)
        self.dirty_jobs.add(job_id)
        self.check_stops_of(job_id)

    def _log_set_apart(self, job_id: str, error: Exception) -> None:
        self.events.append(SchedulingEvent("job-set-apart", job_id, reason=repr(error)))

    def _log_final_state(
        self, job: Job, state: JobState, reason: str, outcome: str = ""
    ) -> None:
        self.events.append(
            SchedulingEvent(
                f"job-{state.name.lower()}",
                job.id,
                reason=reason,
                account=job.account,
                queue=job.queue,
                outcome=outcome,
            )
        )
