"""Place tasks on upstreams: the owner's decisions, without input or output."""

from dataclasses import replace

from ..deployment import Configuration, UpstreamEntry
from ..jobs import Job, JobProgress, JobState
from ._advice import AdviceRequest
from ._bounds import SchedulingBounds
from ._copies import release_copies
from ._ends import apply_report
from ._event import SchedulingEvent
from ._fleet_view import FleetView
from ._incarnations import replace_incarnation, restore_run
from ._job_run import JobRun
from ._orders import PaceOrder, StartOrder, StartResult, StopOrder
from ._pacing import FULL_PERCENT, plan_paces
from ._planning import plan_starts
from ._report import HoldReport
from ._stalls import judge_progress, may_still_arrive, should_stop
from ._state import SchedulerState
from ._upstream import Run, Upstream

_NOT_RUN = {
    StartResult.NO_ROOM: "no-room",
    StartResult.OLD_RUN: "old-run",
    StartResult.LATE: "late-order",
    StartResult.REFUSED: "refused",
    StartResult.MALFORMED: "malformed",
    StartResult.OTHER_INCARNATION: "other-incarnation",
    StartResult.NO_TICKET: "no-ticket",
    StartResult.FENCED: "fenced",
}


class Scheduler:
    """Hold the owner's belief about jobs and upstreams, and decide what to do next."""

    def __init__(self, bounds: SchedulingBounds) -> None:
        """Start empty; all times are seconds of one steady clock."""
        self.state = SchedulerState(bounds)
        self.fleet = FleetView(self.state)
        self._paces: list[PaceOrder] = []

    def set_configuration(self, configuration: Configuration) -> None:
        """Apply a version of the configuration."""
        self.state.configuration = configuration
        self.state.usage.set_accounts(configuration.accounts_by_name)

    def add_job(self, job: Job, progress: JobProgress | None, now: float) -> None:
        """Schedule a job, from its recorded progress if there is any."""
        if job.id in self.state.jobs:
            return
        job_run = JobRun(job, progress, now)
        self.state.jobs[job.id] = job_run
        pool = self.state.pool_of(job_run)
        self.state.arrived[pool] += job_run.declared_work()
        self.state.arrived_jobs[pool] += 1
        if progress:
            for step_run in job_run.steps.values():
                for index in step_run.started_indexes():
                    restore_run(
                        self.state, step_run.task_id(index), step_run.tasks[index], now
                    )

    def cancel_job(self, job_id: str) -> None:
        """Cancel a job unless it has ended; its runs are stopped."""
        job_run = self.state.jobs.get(job_id)
        if job_run is not None:
            self.state.settle(job_run, JobState.CANCELLED, "cancelled by its caller")

    def upstream_listed(self, entry: UpstreamEntry, now: float) -> None:
        """Apply an upstream's entry; another incarnation has lost all runs."""
        known = self.state.upstreams.get(entry.id)
        if known is None:
            self.state.upstreams[entry.id] = Upstream(entry, now)
            return
        if entry.incarnation == known.entry.incarnation:
            known.entry = entry
            known.is_listed = True
        elif entry.incarnation > known.entry.incarnation:
            replace_incarnation(self.state, known, entry, now)

    def upstream_unlisted(self, upstream_id: str) -> None:
        """Note that an upstream's entry is gone; it gets nothing new."""
        upstream = self.state.upstreams.get(upstream_id)
        if upstream is not None:
            upstream.is_listed = False

    def upstream_ended(self, upstream_id: str, reason: str) -> None:
        """Forget an upstream that surely runs nothing any more; its tasks wait."""
        upstream = self.state.upstreams.pop(upstream_id, None)
        if upstream is not None:
            for task in list(upstream.runs):
                self.state.requeue(upstream, task, reason)

    def may_end(self, upstream_id: str, now: float) -> bool:
        """Return whether a silent upstream that is not listed can be forgotten."""
        upstream = self.state.upstreams.get(upstream_id)
        if upstream is None:
            return True
        return (
            not upstream.is_listed
            and now >= upstream.surely_empty_at(self.state.bounds.unheard)
            and not any(
                may_still_arrive(self.state, r, now) for r in upstream.runs.values()
            )
        )

    def heard(
        self, upstream_id: str, report: HoldReport, asked_at: float, now: float
    ) -> None:
        """Apply an upstream's report."""
        upstream = self.state.upstreams.get(upstream_id)
        if upstream is None:
            return
        if report.incarnation > upstream.entry.incarnation:
            entry = replace(upstream.entry, incarnation=report.incarnation)
            replace_incarnation(self.state, upstream, entry, now)
            upstream = self.state.upstreams[upstream_id]
        if report.incarnation == upstream.entry.incarnation:
            apply_report(self.state, upstream, report, asked_at, now)
            judge_progress(self.state, upstream, now)
            self._paces += plan_paces(upstream, now)

    def unsure(self, upstream_id: str) -> None:
        """Take an upstream to be silent until it is heard again."""
        upstream = self.state.upstreams.get(upstream_id)
        if upstream is not None:
            upstream.is_answering = False

    def unheard(self, upstream_id: str, now: float) -> None:
        """Note that a call was not answered; after its last lease all is lost."""
        upstream = self.state.upstreams.get(upstream_id)
        if upstream is None:
            return
        upstream.is_answering = False
        self._requeue_lapsed(upstream, now)

    def expire_silent(self, now: float) -> None:
        """Let tasks wait again whose last lease at a silent upstream is over."""
        for upstream in self.state.upstreams.values():
            if upstream.is_answering:
                upstream.silent_since = None
                continue
            if upstream.silent_since is None:
                upstream.silent_since = now
            if now - upstream.silent_since >= self.state.bounds.copy_silence:
                release_copies(self.state, upstream)
            self._requeue_lapsed(upstream, now)

    def expire_unlisted(self, now: float) -> None:
        """Forget upstreams that were recorded as running work and never came back."""
        for upstream in list(self.state.upstreams.values()):
            age = now - upstream.added_at
            if not upstream.entry.address and age > self.state.bounds.unlisted:
                self.upstream_ended(upstream.id, "unlisted")

    def start_answered(
        self, order: StartOrder, result: StartResult, now: float
    ) -> None:
        """Apply what became of a start."""
        upstream = self.state.upstreams.get(order.upstream)
        run = upstream.runs.get(order.task) if upstream else None
        if upstream is None or run is None or run.run != order.run:
            return
        self.state.note(
            "start-answered",
            order.task,
            order.run,
            upstream=order.upstream,
            reason=result.name.lower(),
            age=now - run.started_at,
        )
        if result is StartResult.STARTED:
            run.settled_at = now
        elif result is StartResult.UNKNOWN:
            run.uncertain_at = now
            upstream.is_answering = False
        else:
            self._apply_refusal(upstream, order, result, now)

    def stop_answered(self, order: StopOrder, now: float) -> None:
        """Note that an upstream has stopped a run, or will refuse it."""
        upstream = self.state.upstreams.get(order.upstream)
        run = upstream.runs.get(order.task) if upstream else None
        # Stops are repeated; the first answer settles what later reports must list.
        if run is not None and run.run == order.run and run.settled_at is None:
            run.settled_at = now

    def plan(self, now: float, unix_ms: int) -> list[StartOrder]:
        """Return the starts that fit now; send each once it is recorded."""
        return plan_starts(self.state, now, unix_ms)

    def stops(self, now: float) -> list[StopOrder]:
        """Return the stops to send now: of ended jobs, hanging and unsettled runs."""
        orders: list[StopOrder] = []
        for upstream in self.state.upstreams.values():
            orders += [
                StopOrder(task, run, upstream.id)
                for task, run in upstream.strays.items()
            ]
            upstream.strays = {}
            for run in upstream.runs.values():
                if should_stop(self.state, run) and self._may_repeat(run, now):
                    run.stop_sent_at = now
                    orders.append(StopOrder(run.task, run.run, upstream.id))
        return orders

    def take_paces(self) -> list[PaceOrder]:
        """Return the changes of pace to send now."""
        paces, self._paces = self._paces, []
        return paces

    def pace_unanswered(self, order: PaceOrder) -> None:
        """Take a pace to be unchanged at full, so that it is ordered again."""
        upstream = self.state.upstreams.get(order.upstream)
        run = upstream.runs.get(order.task) if upstream else None
        if run is not None and run.run == order.run:
            run.pace = FULL_PERCENT

    def take_advice_requests(self) -> list[AdviceRequest]:
        """Return what to ask the placement advisor now."""
        return self.state.advice.take_requests()

    def advised(
        self, request: AdviceRequest, tickets: dict[str, str] | None, until: float
    ) -> None:
        """Apply the placement advisor's answer, or None where there was none."""
        incarnations = {
            name: self.state.upstreams[name].entry.incarnation
            for name in request.upstreams
            if name in self.state.upstreams
        }
        self.state.advice.answered(request, tickets, until, incarnations)

    def take_dirty(self) -> dict[str, JobProgress]:
        """Return the progress of the jobs that changed since the last time."""
        changed: dict[str, JobProgress] = {}
        for job_id in self.state.dirty:
            job_run = self.state.jobs.get(job_id)
            if job_run is None:
                continue
            if job_run.state is JobState.PENDING and any(
                step_run.tasks for step_run in job_run.steps.values()
            ):
                job_run.state = JobState.RUNNING
            changed[job_id] = job_run.progress()
        self.state.dirty.clear()
        return changed

    def applied_ends(self) -> list[tuple[Upstream, int]]:
        """Return the last end applied of each upstream, to be recorded now."""
        return [(u, u.applied_end) for u in self.state.upstreams.values()]

    def ends_recorded(self, applied: list[tuple[Upstream, int]]) -> list[str]:
        """Let recorded ends be acknowledged; return the upstreams concerned.

        An upstream that was replaced meanwhile by another incarnation counts anew.
        """
        moved: list[str] = []
        for upstream, number in applied:
            if number > upstream.recorded_end:
                upstream.recorded_end = number
                moved.append(upstream.id)
        return moved

    def retire(self) -> list[str]:
        """Forget the recorded ends of jobs that run nothing; return their ids."""
        busy = {
            task.job for u in self.state.upstreams.values() for task in u.runs
        } | self.state.dirty
        ended = [
            job_id
            for job_id, job_run in self.state.jobs.items()
            if job_run.state.is_final() and job_id not in busy
        ]
        for job_id in ended:
            del self.state.jobs[job_id]
            self.state.advice.forget(job_id)
        return ended

    def take_events(self) -> list[SchedulingEvent]:
        """Return the decisions since the last time."""
        events, self.state.events = self.state.events, []
        return events

    def _requeue_lapsed(self, upstream: Upstream, now: float) -> None:
        if now < upstream.surely_empty_at(self.state.bounds.unheard):
            return
        for task, run in list(upstream.runs.items()):
            if not may_still_arrive(self.state, run, now):
                self.state.requeue(upstream, task, "lease-over")

    def _apply_refusal(
        self, upstream: Upstream, order: StartOrder, result: StartResult, now: float
    ) -> None:
        if result is StartResult.NO_ROOM:
            upstream.no_room_until = now + self.state.bounds.room_backoff
        elif result in (StartResult.REFUSED, StartResult.MALFORMED):
            upstream.no_room_until = now + self.state.bounds.room_backoff
            self.state.blame(upstream, now)
        elif result is StartResult.OTHER_INCARNATION:
            upstream.is_answering = False
        self.state.requeue(upstream, order.task, _NOT_RUN[result])

    def _may_repeat(self, run: Run, now: float) -> bool:
        sent = run.stop_sent_at
        return sent is None or now - sent >= self.state.bounds.order_retry
