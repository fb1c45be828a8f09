"""Simulate upstreams that crash, and the instance list that shows it."""

from dataclasses import replace
from types import MappingProxyType

from baobablane.crashes import HostTable
from baobablane.deployment import Instance, InstanceState
from baobablane.scheduling import StartResult

from .fleet_model import ModelFleet, ModelUpstream

DOWN_SECONDS = 3.3
LIST_INTERVAL_SECONDS = 0.25
# How long the owner waits for the response of an upstream without power: to a poll of
# one with runs, to a poll of an idle one, and to a start.
POLL_TIMEOUT_SECONDS = 1.4
IDLE_POLL_TIMEOUT_SECONDS = 2.5
START_TIMEOUT_SECONDS = 1.0


class CrashFleet(ModelFleet):
    """Simulate a fleet in which some tasks crash each upstream that starts them.

    Each life of an upstream has another id, `u0`, `u0-1` and so on, on instance `u0`.
    """

    def __init__(self, count=4, deadly=(), **options):
        """Create the fleet; `deadly` holds the tasks that crash upstreams."""
        super().__init__(count, **options)
        self.deadly = set(deadly)
        self.crashed_starts = []
        self.ordered_ms = {}
        self.hosts = HostTable({})
        self._down = {}
        # When the owner gives up waiting for a silent upstream, and for a start there.
        self._silent_until = {}
        self._unanswered = []
        self._stale_entries = []
        self._entries = {name: model.entry for name, model in self.upstreams.items()}
        self._lives = dict.fromkeys(self.upstreams, 0)
        self.list_instances()
        self.renew_all()

    def list_instances(self):
        """Let the owner read the list of instances."""
        rows = [
            make_row(name.partition("-")[0], InstanceState.UP, name)
            for name in self.upstreams
        ]
        rows += [make_row(name, InstanceState.DOWN, "") for name in self._down]
        changes = self.hosts.apply(
            rows,
            self.ordered_ms,
            self.scheduler.draining_upstreams(),
            round(self.now * 1000),
        )
        instance_by_upstream = self.hosts.instance_by_upstream()
        self.scheduler.instances_listed(
            changes, instance_by_upstream, self.now, self.now
        )

    def crash(self, name):
        """Crash an upstream; it starts again after DOWN_SECONDS."""
        self._end(name)
        self.scheduler.renewal_failed(name, self.now)

    def cut_power(self, name):
        """Crash an upstream that closes no connection; the owner waits for it."""
        is_idle = not self.scheduler.state.upstreams[name].runs
        timeout = IDLE_POLL_TIMEOUT_SECONDS if is_idle else POLL_TIMEOUT_SECONDS
        self._silent_until[name] = self.now + timeout
        self._end(name)

    def _end(self, name):
        # Its entry expires later than it starts again.
        self._stale_entries.append(self.upstreams.pop(name).entry)
        self._down[name.partition("-")[0]] = self.now + DOWN_SECONDS

    def send(self, order):
        """Send a start; it can't be sent to an upstream that has crashed."""
        if order.upstream in self._silent_until:
            self._unanswered.append((self.now + START_TIMEOUT_SECONDS, order))
            return StartResult.UNKNOWN
        if order.upstream not in self.upstreams:
            self.scheduler.start_answered(order, StartResult.NOT_SENT, self.now)
            return StartResult.NOT_SENT
        return super().send(order)

    def place(self):
        """Start all tasks that fit; then deadly ones crash their upstreams."""
        orders = super().place()
        for order in orders:
            upstream = self.upstreams.get(order.upstream)
            if upstream is not None and order.task in self.deadly & set(
                upstream.running
            ):
                self.crashed_starts.append(order)
                self.crash(order.upstream)
        return orders

    def crash_late(self, age_seconds):
        """Crash the upstreams whose deadly run has reached an age."""
        for name, known in list(self.scheduler.state.upstreams.items()):
            if name in self.upstreams and any(
                run.task in self.deadly and self.now - run.started_at >= age_seconds
                for run in known.runs.values()
            ):
                self.crash(name)

    def advance(self, seconds):
        """Run the owner and the upstreams for some time."""
        end = self.now + seconds
        while self.now < end:
            self.now += LIST_INTERVAL_SECONDS
            self._return_crashed()
            self._time_out()
            self.list_instances()
            self.scheduler.expire_unreachable(self.now)
            for name in list(self.upstreams):
                self.renew(name)
            self.place()

    def finish_all(self):
        """End each run that has settled, as a short task does."""
        for upstream in self.upstreams.values():
            for task in list(upstream.running):
                if task not in self.deadly:
                    self.finish(task)

    def replace_owner(self, inherited=MappingProxyType({})):
        """Let another owner take over from what is recorded.

        `inherited` is what the owner before it told of leases.
        """
        records = {
            name: job_run.progress()
            for name, job_run in self.scheduler.state.jobs.items()
        }
        jobs = [job_run.job for job_run in self.scheduler.state.jobs.values()]
        self.epoch += 1
        self.hosts = HostTable(self.hosts.host_by_instance)
        self.scheduler = self.make_scheduler(inherited)
        for entry in self._stale_entries:
            self.scheduler.upstream_listed(entry, self.now)
        for job in jobs:
            self.scheduler.add_job(job, records[job.id], self.now)

    def state_of(self, job):
        """Return the state of a job."""
        return self.scheduler.state.jobs[job].state

    def _time_out(self):
        for name, until in list(self._silent_until.items()):
            if self.now >= until:
                del self._silent_until[name]
                self.scheduler.renewal_failed(name, self.now)
        overdue = [order for until, order in self._unanswered if self.now >= until]
        self._unanswered = [row for row in self._unanswered if self.now < row[0]]
        for order in overdue:
            self.scheduler.start_answered(order, StartResult.UNKNOWN, self.now)

    def _return_crashed(self):
        for name, back_at in list(self._down.items()):
            if self.now >= back_at:
                del self._down[name]
                self._lives[name] += 1
                self._start(name, f"{name}-{self._lives[name]}")

    def _start(self, instance, name):
        incarnation = round(self.now * 1000)
        entry = replace(self._entries[instance], id=name, incarnation=incarnation)
        model = self.upstreams[name] = ModelUpstream(entry)
        self.scheduler.upstream_listed(model.entry, self.now)


def make_row(name, state, upstream, pool="pool"):
    """Return a row of the list of instances."""
    return Instance(name, pool, state, "zone", frozenset(), None, upstream)
