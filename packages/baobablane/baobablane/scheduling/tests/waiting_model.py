"""Simulate disruptions of a fleet with long-running tasks, and the calm after them."""

import math

from baobablane.jobs import TaskId
from baobablane.scheduling import StartResult, StopOrder
from baobablane.scheduling._stalls import may_still_arrive

from .crash_model import (
    LIST_INTERVAL_SECONDS,
    POLL_TIMEOUT_SECONDS,
    START_TIMEOUT_SECONDS,
    CrashFleet,
)
from .fleet_model import add, make_job, make_step

# An entry is removed after three heartbeat intervals of silence.
ENTRY_SECONDS = 3.0
# How long an order may take to reach an upstream that lost its response.
LATE_SECONDS = 2.0


class WaitingFleet(CrashFleet):
    """Simulate crashes, silence, lost answers, restarts, owners and orders."""

    def __init__(self, count=6, deadly=(), **options):
        """Create the fleet; nothing is disrupted."""
        # Until when each upstream is silent to the owner, and since when.
        self.silent = {}
        # Starts that are carried out late, with their deadlines.
        self.late = []
        self.losses = []
        self.gone_at = {}
        # Decisions of earlier owners.
        self.past_events = []
        super().__init__(count, deadly, **options)

    def silence(self, name, seconds):
        """Cut an upstream off from the owner; it works on under its leases."""
        if name not in self.silent:
            self.silent[name] = (self.now, self.now + seconds)

    def lose_answers(self, outcomes):
        """Lose the response of the next starts, or the starts themselves."""
        self.losses += outcomes

    def restart(self, name):
        """Restart an upstream under the same id."""
        self.upstreams[name].restart()

    def remove(self, name):
        """Cut the power of an upstream that never returns."""
        self.cut_power(name)
        self._down[name.partition("-")[0]] = math.inf

    def evict(self, name):
        """Evict the long-running tasks of an upstream."""
        known = self.scheduler.state.upstreams.get(name)
        for run in list(known.runs.values()) if known else ():
            if run.is_lasting:
                self.scheduler.fleet.evict(StopOrder(run.task, run.number, name))

    def replace_owner(self, *arguments):
        """Let another owner take over, and keep the decisions of this one."""
        self.past_events += self.scheduler.pop_events()
        super().replace_owner(*arguments)

    def add_short_jobs(self, count, tasks):
        """Add jobs of short tasks."""
        for _ in range(count):
            name = f"{len(self.scheduler.state.jobs):015x}f"
            add(self, make_job(make_step(tasks), name=name))

    def send(self, order):
        """Send a start, whose response may be lost."""
        loss = self.losses.pop(0) if self.losses else ""
        if order.upstream in self.upstreams and (
            loss or self._is_silent(order.upstream)
        ):
            deadline = self.grant_start(order.upstream)
            if deadline is None:
                return super().send(order)
            if loss == "late":
                self.late.append((self.now + LATE_SECONDS, order, self.epoch, deadline))
            elif loss == "unheard":
                model = self.upstreams[order.upstream]
                model.start(order, self.epoch, deadline, self.now)
            self._unanswered.append((self.now + START_TIMEOUT_SECONDS, order))
            return StartResult.UNKNOWN
        return super().send(order)

    def renew(self, name):
        """Renew the leases of an upstream unless it is silent."""
        self.scheduler.upstream_listed(self.upstreams[name].entry, self.now)
        if not self._is_silent(name):
            for task in self.upstreams[name].running:
                self.upstreams[name].percent[task] = self.percent_of(name, task)
            super().renew(name)
        elif self.now - self.silent[name][0] >= POLL_TIMEOUT_SECONDS:
            self.scheduler.renewal_failed(name, self.now)

    def percent_of(self, name, task):
        """Return the progress that an upstream reports of a run."""
        return 100

    def send_stops(self):
        """Send the stops that are due to the upstreams that answer."""
        for order in self.scheduler.plan_stops(self.now):
            model = self.upstreams.get(order.upstream)
            if model is not None and not self._is_silent(order.upstream):
                model.stop(order)
                self.scheduler.stop_answered(order, self.now)

    def advance(self, seconds, finish=False):
        """Run the owner and the upstreams for some time."""
        end = self.now + seconds
        while self.now < end:
            self._lapse()
            self._carry_out_late()
            self._expire_entries()
            self.send_stops()
            super().advance(LIST_INTERVAL_SECONDS)
            if finish:
                self._finish_short()

    def calm(self, seconds):
        """Let everything answer and have room for some time."""
        self.losses = []
        self.scheduler.fleet.cordon(set())
        while self._is_disrupted():
            self.advance(LIST_INTERVAL_SECONDS, finish=True)
        self.advance(seconds, finish=True)

    def _is_disrupted(self):
        return (
            any(self._is_silent(name) for name in self.silent)
            or any(back_at < math.inf for back_at in self._down.values())
            or bool(self._silent_until)
            or self._may_start_late()
        )

    def _may_start_late(self):
        # A start without a response may be carried out by the next life of an upstream
        # that is gone, so its task has to wait for that.
        state = self.scheduler.state
        return any(
            may_still_arrive(state, run, self.now)
            for name, known in state.upstreams.items()
            if name not in self.upstreams
            for run in known.runs.values()
        )

    def missing(self):
        """Return the long-running tasks of open jobs that nothing runs."""
        tasks = [
            TaskId(job_run.job.id, 0, number, index)
            for job_run in self.scheduler.state.jobs.values()
            if not job_run.state.is_final()
            for number, step in enumerate(job_run.job.steps)
            if step.is_lasting
            for index in range(step.count)
        ]
        return [task for task in tasks if not self.runs_of(task)]

    def _is_silent(self, name):
        return name in self.silent and self.now < self.silent[name][1]

    def _lapse(self):
        for model in self.upstreams.values():
            if self.now > model.lease_expires_at:
                model.lapse()
        self.silent = {
            name: row for name, row in self.silent.items() if self.now < row[1]
        }

    def _carry_out_late(self):
        due = [row[1:] for row in self.late if self.now >= row[0]]
        self.late = [row for row in self.late if self.now < row[0]]
        for order, epoch, deadline in due:
            if order.upstream in self.upstreams:
                model = self.upstreams[order.upstream]
                model.start(order, epoch, deadline, self.now)

    def _expire_entries(self):
        for name in list(self.scheduler.state.upstreams):
            if name in self.upstreams:
                self.gone_at.pop(name, None)
            elif self.now - self.gone_at.setdefault(name, self.now) >= ENTRY_SECONDS:
                self.scheduler.upstream_unlisted(name)
                self.scheduler.renewal_failed(name, self.now)
                if self.scheduler.can_remove_upstream(name, self.now):
                    self.scheduler.remove_lost_upstream(name, "gone", self.now)

    def _finish_short(self):
        lasting = {
            (job_run.job.id, number)
            for job_run in self.scheduler.state.jobs.values()
            for number, step in enumerate(job_run.job.steps)
            if step.is_lasting
        }
        for model in self.upstreams.values():
            for task in list(model.running):
                if (task.job, task.step) not in lasting:
                    self.finish(task)
