"""Make the owner's scheduling decisions, without any input or output."""

import math
from collections.abc import Callable, Mapping
from dataclasses import replace
from types import MappingProxyType

from ..crashes import HostChanges
from ..deployment import NO_RESOURCES, Configuration, UpstreamEntry
from ..jobs import Job, JobProgress, JobState
from ._advice import AdviceRequest
from ._count_audit import log_miscounts
from ._crash_evidence import (
    clear_settled,
    confirm_crash,
    forget_old_losses,
    give_up_late_causes,
    mark_down,
    note_lost_run,
    withdraw_losses,
    withdraw_losses_of_listed,
)
from ._event import SchedulingEvent
from ._fleet_view import FleetView
from ._incarnations import replace_incarnation
from ._inheritable_leases import find_inheritable
from ._inherited_lease import InheritedLease
from ._job_intake import resume_jobs, take_in
from ._known_settling import find_settled_ms
from ._lost_upstream import unstable_pools
from ._orders import PaceOrder, StartOrder, StartResult, StopOrder
from ._pacing import FULL_PERCENT, plan_pace_orders
from ._planning import plan_starts
from ._policy import SchedulingPolicy
from ._reconciliation import apply_report
from ._report import RenewalReport
from ._speculation import allow_copies
from ._stalls import detect_stalls, may_still_arrive, should_stop
from ._start_results import apply_start_result
from ._state import SchedulerState
from ._stop_planning import plan_stops
from ._upstream import SETTLING_SECONDS, Upstream


class Scheduler:
    """Track the jobs and upstreams of the owner, and decide on the next orders."""

    def __init__(
        self,
        policy: SchedulingPolicy,
        inherited: Mapping[str, InheritedLease] = MappingProxyType({}),
        began_at: float = math.inf,
        settled_ms: int = 0,
    ) -> None:
        """Start without jobs; all times are in seconds of one monotonic clock.

        `inherited` holds, by upstream, the leases of which earlier owners knew the end.
        The unknown leases of all others count from `began_at`, or from the time at
        which an upstream is first seen if that is sooner. Runs that were started by
        `settled_ms`, in Unix milliseconds, had settled under an earlier owner.
        """
        self.state = SchedulerState(policy, inherited, began_at, settled_ms)
        self.fleet = FleetView(self.state)
        self._pace_orders: list[PaceOrder] = []

    def set_configuration(self, configuration: Configuration) -> None:
        """Apply a version of the configuration."""
        self.state.configuration = configuration
        self.state.usage.set_accounts(configuration.accounts_by_name)
        self.state.standings.set_accounts(configuration.accounts_by_name)

    def shorten_unknown_leases(
        self, unknown_lease_seconds: float, unlisted_grace_seconds: float
    ) -> bool:
        """Shorten both bounds of the policy; return whether the first one changed."""
        policy = self.state.policy
        if unknown_lease_seconds >= policy.unknown_lease_seconds:
            return False
        self.state.policy = replace(
            policy,
            unknown_lease_seconds=unknown_lease_seconds,
            unlisted_grace_seconds=min(
                unlisted_grace_seconds, policy.unlisted_grace_seconds
            ),
        )
        return True

    def set_evacuation(self, zones: frozenset[str], allows_starts: bool) -> None:
        """Place nothing in the given zones, and nothing at all unless it is allowed."""
        self.state.evacuated_zones = zones
        self.state.allows_starts = allows_starts

    def note_clock(self, now: float, unix_ms: int) -> None:
        """Note the time by both clocks, to date what earlier owners recorded."""
        self.state.unix_offset_seconds = unix_ms / 1000 - now

    def add_job(self, job: Job, progress: JobProgress | None, now: float) -> None:
        """Schedule a job, resuming from its recorded progress if there is any."""
        if job.id not in self.state.jobs and job.id not in self.state.apart_by_id:
            take_in(self.state, job, progress, now)

    def note_past_job(self, job: Job) -> None:
        """Count a job that ended under an earlier owner against its account's rate."""
        self.state.standings.record_arrival(job)
        self.state.standings.remove_job(job.id)

    def cancel_job(self, job_id: str) -> None:
        """Cancel a job unless it has ended, so that its runs are stopped.

        If that raises an error, the job is set apart and cancelled as such.
        """
        reason = "cancelled by its caller"
        job_run = self.state.jobs.get(job_id)
        if job_run is not None:
            try:
                self.state.finish_job(job_run, JobState.CANCELLED, reason)
            except Exception as error:
                self.state.set_apart(job_id, error)
        apart = self.state.apart_by_id.get(job_id)
        if apart is not None:
            self.state.finish_apart(apart, JobState.CANCELLED, reason)

    def upstream_listed(self, entry: UpstreamEntry, now: float) -> None:
        """Apply an upstream's entry; a newer incarnation replaces the known one."""
        current = self.state.upstreams.get(entry.id)
        if current is None:
            self.state.add_upstream(entry, now)
            return
        if not entry.incarnation:
            # Entries of older versions don't tell the incarnation.
            entry = replace(entry, incarnation=current.entry.incarnation)
        if entry.incarnation == current.entry.incarnation:
            current.entry = entry
            current.is_listed = True
        elif entry.incarnation > current.entry.incarnation:
            replace_incarnation(self.state, current, entry, now)

    def upstream_unlisted(self, upstream_id: str) -> None:
        """Place nothing more on an upstream whose entry was removed."""
        upstream = self.state.upstreams.get(upstream_id)
        if upstream is not None:
            upstream.is_listed = False

    def remove_upstream(self, upstream_id: str, reason: str) -> None:
        """Remove an upstream that certainly runs nothing, and requeue its tasks."""
        upstream = self.state.upstreams.pop(upstream_id, None)
        self.state.speeds.remove_upstream(upstream_id)
        if upstream is not None:
            for task in list(upstream.runs):
                self.state.requeue(upstream, task, reason)

    def remove_lost_upstream(self, upstream_id: str, reason: str, now: float) -> None:
        """Remove an upstream of which it is not known why it is gone."""
        upstream = self.state.upstreams.get(upstream_id)
        if upstream is not None:
            for run in list(upstream.runs.values()):
                note_lost_run(self.state, upstream, run, now)
            self.remove_upstream(upstream_id, reason)

    def instances_listed(
        self,
        changes: HostChanges,
        instance_by_upstream: Mapping[str, str],
        requested_at: float,
        now: float,
    ) -> None:
        """Apply what a list of instances shows, which was requested at a given time."""
        state = self.state
        state.instance_by_upstream = dict(instance_by_upstream)
        state.listed_up, state.listed_at = frozenset(changes.up), requested_at
        for upstream_id in changes.down:
            if upstream_id in state.upstreams:
                state.upstreams[upstream_id].listed_down_at = requested_at
            mark_down(state, upstream_id, now)
            self._requeue_of_down(upstream_id, now)
        for upstream_id, instance in changes.crashed.items():
            # Losses are noted with the instance on which they happened.
            state.instance_by_upstream[upstream_id] = instance
            confirm_crash(state, upstream_id, now)
            self.remove_upstream(upstream_id, "crashed")
        for upstream_id in changes.ended:
            withdraw_losses(state, upstream_id, "its end was ordered or announced")
        withdraw_losses_of_listed(state)
        give_up_late_causes(state)
        forget_old_losses(state, now)

    def draining_upstreams(self) -> set[str]:
        """Return the upstreams that have announced that they will stop."""
        return {u.id for u in self.state.upstreams.values() if u.entry.is_draining}

    def unstable_pools(self, now: float) -> set[str]:
        """Return the pools whose upstreams crash as they start tasks."""
        return unstable_pools(self.state.lost_upstreams.values(), now)

    def mark_ordered(self, upstream_id: str, is_ordered: bool) -> None:
        """Expect an upstream to end because of an order for its instance, or not."""
        upstream = self.state.upstreams.get(upstream_id)
        if upstream is not None:
            upstream.has_order = is_ordered

    def upstreams_to_check(self, now: float) -> list[str]:
        """Return the upstreams to ask now whether they are up, or outlived a start.

        Each is returned once in a settling time. Only where something waits for the
        answer is it worth a call.
        """
        due: list[str] = []
        for upstream in self.state.upstreams.values():
            if (
                upstream.is_reachable
                and now - upstream.checked_at >= SETTLING_SECONDS
                and (upstream.awaits_contact(now) or upstream.awaits_settling(now))
            ):
                upstream.checked_at = now
                due.append(upstream.id)
        return due

    def can_remove_upstream(self, upstream_id: str, now: float) -> bool:
        """Return whether an upstream is unlisted and certainly runs nothing.

        Also return True if the upstream is unknown.
        """
        upstream = self.state.upstreams.get(upstream_id)
        if upstream is None:
            return True
        return (
            not upstream.is_listed
            and now
            >= upstream.latest_lease_expiry(self.state.policy.unknown_lease_seconds)
            and not any(
                may_still_arrive(self.state, r, now) for r in upstream.runs.values()
            )
        )

    def inheritable_leases(self, epoch: int, now: float) -> dict[str, InheritedLease]:
        """Return by when upstreams that the owner does not reach run nothing.

        Include all that is known if the owner ends now. What is told to the next owner
        has to stay true: no leases may be granted on these upstreams.
        """
        return find_inheritable(self.state, epoch, now)

    def settled_ms(self, now: float) -> int:
        """Return by when all runs that have not settled were started later.

        The time is in Unix milliseconds; 0 if it is unknown. Starts after this call
        are recorded as later, whatever the clock shows.
        """
        settled_ms = find_settled_ms(self.state, now)
        self.state.told_settled_ms = max(self.state.told_settled_ms, settled_ms)
        return settled_ms

    def allow_leases(self, may_grant: Callable[[str], bool]) -> None:
        """Start tasks only on the upstreams on which leases may be granted."""
        for name, upstream in self.state.upstreams.items():
            upstream.may_grant_lease = may_grant(name)

    def report_received(
        self, upstream_id: str, report: RenewalReport, requested_at: float, now: float
    ) -> None:
        """Apply an upstream's report, which was requested at `requested_at`."""
        upstream = self.state.upstreams.get(upstream_id)
        if upstream is None:
            return
        if report.incarnation > upstream.entry.incarnation:
            # It may be of another kind; its room is unknown until its entry arrives.
            entry = replace(
                upstream.entry, incarnation=report.incarnation, capacity=NO_RESOURCES
            )
            replace_incarnation(self.state, upstream, entry, now)
            upstream = self.state.upstreams[upstream_id]
        if report.incarnation == upstream.entry.incarnation:
            upstream.may_need_stops = True
            self._apply_contact(upstream, now)
            apply_report(self.state, upstream, report, requested_at, now)
            clear_settled(self.state, upstream)
            detect_stalls(self.state, upstream, now)
            self._pace_orders += plan_pace_orders(upstream, now)

    def mark_unreachable(self, upstream_id: str) -> None:
        """Treat an upstream as unreachable until its next report."""
        upstream = self.state.upstreams.get(upstream_id)
        if upstream is not None:
            upstream.is_reachable = False

    def renewal_failed(self, upstream_id: str, now: float) -> None:
        """Mark an upstream unreachable, and requeue its tasks if its leases expired."""
        upstream = self.state.upstreams.get(upstream_id)
        if upstream is None:
            return
        upstream.is_reachable = False
        self._requeue_expired(upstream, now)

    def expire_unreachable(self, now: float) -> None:
        """Let tasks of unreachable upstreams start elsewhere.

        Tasks that may run twice wait for the speculation delay, and all others until
        the leases have expired.
        """
        for upstream in self.state.upstreams.values():
            if upstream.is_reachable:
                upstream.unreachable_since = None
                continue
            if upstream.unreachable_since is None:
                upstream.unreachable_since = now
            if (
                now - upstream.unreachable_since
                >= self.state.policy.speculation_delay_seconds
            ):
                allow_copies(self.state, upstream, now)
            self._requeue_expired(upstream, now)

    def remove_unlisted(self, now: float) -> None:
        """Remove upstreams known only from job records that got no entry in time."""
        for upstream in list(self.state.upstreams.values()):
            if not upstream.entry.address and now > upstream.latest_return(
                self.state.policy
            ):
                self.remove_lost_upstream(upstream.id, "unlisted", now)

    def is_start_wanted(self, order: StartOrder) -> bool:
        """Return whether a planned start should still be sent."""
        upstream = self.state.upstreams.get(order.upstream)
        run = upstream.runs.get(order.task) if upstream else None
        return (
            run is not None
            and run.number == order.run
            and not should_stop(self.state, run)
        )

    def start_sent(self, order: StartOrder, deadline_ms: int, now: float) -> None:
        """Count a start from now on, as it may have waited for a connection.

        `deadline_ms` is its lease deadline, in ms of the upstream's clock.
        """
        upstream = self.state.upstreams.get(order.upstream)
        run = upstream.runs.get(order.task) if upstream else None
        if run is not None and run.number == order.run:
            run.started_at = now
            run.start_deadline_ms = deadline_ms

    def start_answered(
        self, order: StartOrder, result: StartResult, now: float
    ) -> None:
        """Apply the result of a start."""
        apply_start_result(self.state, order, result, now)

    def stop_answered(self, order: StopOrder, now: float) -> None:
        """Confirm that an upstream has stopped a run, or will reject its start."""
        upstream = self.state.upstreams.get(order.upstream)
        run = upstream.runs.get(order.task) if upstream else None
        # Stops are repeated, and only the first response sets the time from which a
        # report that omits the run proves its end.
        if run is not None and run.number == order.run and run.confirmed_at is None:
            run.confirmed_at = now

    def plan_starts(self, now: float, unix_ms: int) -> list[StartOrder]:
        """Return the starts that fit now; record each before sending it."""
        resume_jobs(self.state, now)
        return plan_starts(self.state, now, unix_ms)

    def plan_stops(self, now: float) -> list[StopOrder]:
        """Return the stops to send now, including those that are due to be repeated."""
        return plan_stops(self.state, now)

    def pop_pace_orders(self) -> list[PaceOrder]:
        """Return the pace orders to send now, and clear them."""
        orders, self._pace_orders = self._pace_orders, []
        return orders

    def pace_unanswered(self, order: PaceOrder) -> None:
        """Assume full pace after an order had no response; throttling starts anew."""
        upstream = self.state.upstreams.get(order.upstream)
        run = upstream.runs.get(order.task) if upstream else None
        if run is not None and run.number == order.run:
            run.pace_percent = FULL_PERCENT

    def pop_advice_requests(self) -> list[AdviceRequest]:
        """Return the requests to send to the placement advisor now."""
        return self.state.advice.pop_requests()

    def advice_received(
        self, request: AdviceRequest, tickets: dict[str, str] | None, valid_until: float
    ) -> None:
        """Apply the placement advisor's answer; None means no response."""
        incarnations = {
            name: self.state.upstreams[name].entry.incarnation
            for name in request.upstreams
            if name in self.state.upstreams
        }
        self.state.advice.apply_answer(request, tickets, valid_until, incarnations)

    def check_counts(self) -> int:
        """Log which counts differ from the known runs, and return how many do.

        It takes as long as a walk over all runs.
        """
        return log_miscounts(self.state)

    def pop_dirty_progress(self) -> dict[str, JobProgress]:
        """Return the progress of the jobs that changed since the previous call."""
        changed: dict[str, JobProgress] = {}
        dirty_jobs, self.state.dirty_jobs = self.state.dirty_jobs, set()
        for job_id in dirty_jobs:
            job_run = self.state.jobs.get(job_id)
            if job_run is not None:
                try:
                    changed[job_id] = job_run.progress()
                except Exception as error:
                    self.state.set_apart(job_id, error)
            apart = self.state.apart_by_id.get(job_id)
            if apart is not None:
                changed[job_id] = apart.recorded_progress()
        self.state.lost_starts_in_writing += self.state.unrecorded_lost_starts
        self.state.unrecorded_lost_starts = []
        # A job that was just set apart is recorded with the others.
        self.state.dirty_jobs.clear()
        return changed

    def progress_recorded(self) -> None:
        """Note that the progress that was returned last is recorded."""
        self.state.lost_starts_in_writing.clear()

    def applied_ends(self) -> list[tuple[Upstream, int]]:
        """Return each upstream with its last applied end, to be recorded now."""
        return [(u, u.applied_end) for u in self.state.upstreams.values()]

    def ends_recorded(self, applied: list[tuple[Upstream, int]]) -> list[str]:
        """Allow recorded ends to be acknowledged, and return the upstreams concerned.

        If a new incarnation has replaced an upstream in the meantime, its count of
        ends is left unchanged.
        """
        advanced: list[str] = []
        for upstream, number in applied:
            if number > upstream.recorded_end:
                upstream.recorded_end = number
                advanced.append(upstream.id)
        return advanced

    def remove_ended_jobs(self) -> list[str]:
        """Remove recorded ended jobs that have no runs, and return their ids."""
        ended = [
            job_id
            for job_id in self.state.final_jobs
            if job_id not in self.state.run_count_by_job
            and job_id not in self.state.dirty_jobs
        ]
        self.state.final_jobs.difference_update(ended)
        for job_id in ended:
            self.state.forget_job(job_id)
        return ended

    def pop_events(self) -> list[SchedulingEvent]:
        """Return the decisions since the previous call."""
        events, self.state.events = self.state.events, []
        return events

    def _apply_contact(self, upstream: Upstream, now: float) -> None:
        upstream.last_seen_at = now
        lost = self.state.lost_upstreams.get(upstream.id)
        if lost is not None and lost.incarnation == upstream.entry.incarnation:
            del self.state.lost_upstreams[upstream.id]
        # An earlier owner may have recorded them.
        incarnation = upstream.entry.incarnation
        withdraw_losses(self.state, upstream.id, "reachable again", incarnation)

    def _requeue_of_down(self, upstream_id: str, now: float) -> None:
        # Nothing runs on an instance that is down. Only an order of unknown outcome may
        # still be carried out, by the next life of the upstream under the same id.
        upstream = self.state.upstreams.get(upstream_id)
        if upstream is None or upstream.is_reachable:
            return
        for task, run in list(upstream.runs.items()):
            if not may_still_arrive(self.state, run, now):
                note_lost_run(self.state, upstream, run, now)
                self.state.requeue(upstream, task, "instance-down")

    def _requeue_expired(self, upstream: Upstream, now: float) -> None:
        if now < upstream.latest_lease_expiry(self.state.policy.unknown_lease_seconds):
            return
        for task, run in list(upstream.runs.items()):
            if not may_still_arrive(self.state, run, now):
                note_lost_run(self.state, upstream, run, now)
                self.state.requeue(upstream, task, "lease-over")
