"""Simulate upstreams, and an owner that drives the scheduler, in virtual time."""

from dataclasses import dataclass, field, replace
from types import MappingProxyType

from baobablane.deployment import (
    NO_RESOURCES,
    ClientAccount,
    Configuration,
    Pool,
    Queue,
    Resources,
    UpstreamEntry,
)
from baobablane.jobs import Job, Step, TaskId
from baobablane.scheduling import (
    EndedRun,
    EndReason,
    LeaseTracker,
    RenewalReport,
    RunningTask,
    Scheduler,
    SchedulingPolicy,
    StartOrder,
    StartResult,
    StopOrder,
)

LEASE_SECONDS = 4.5
# A start gets a longer lease only if less than this is left of the granted one.
MIN_START_LEASE_SECONDS = 2.5
CORE = 1000
SCHEDULING_POLICY = SchedulingPolicy()
# No earlier owner can have granted leases.
FIRST_OWNER = SchedulingPolicy(unknown_lease_seconds=0.0)


def make_queue(name="q", pool="pool", priority=0, attempts=2):
    """Return a queue."""
    return Queue(name, "host", f"/{name}/", pool, priority, attempts, 1.6, 600, False)


def make_configuration(version=1, cap=NO_RESOURCES, queues=None):
    """Return a configuration with one pool and one client account."""
    account = ClientAccount("a", ("key",), 1.0, cap)
    queues = queues or [make_queue()]
    return Configuration(
        version,
        {queue.name: queue for queue in queues},
        {"pool": Pool("pool")},
        {"a": account},
        {"key": account},
    )


def make_step(count=1, cpu=CORE, **fields):
    """Return a step whose tasks have a declared time of half a second."""
    return Step(count, Resources(cpu, 100, 0), 500, **fields)


def make_job(*steps, name="0" * 16, queue="q", accepted_ms=0):
    """Return a job of the client account."""
    return Job(name, queue, "pool", "a", "spec", steps or (make_step(),), accepted_ms)


@dataclass
class ModelUpstream:
    """Simulate the latest incarnation of one upstream."""

    entry: UpstreamEntry
    running: dict[TaskId, int] = field(default_factory=dict)
    ended: list[EndedRun] = field(default_factory=list)
    highest_ended_run: dict[TaskId, int] = field(default_factory=dict)
    percent: dict[TaskId, int] = field(default_factory=dict)
    end_count: int = 0
    # How many ends a report lists.
    max_listed_ends: int = 500
    # Tasks with an end `done` that was acknowledged before the lease lapsed, by any
    # incarnation, and the ends of tasks that have been started again.
    acknowledged_done: set[TaskId] = field(default_factory=set)
    repeated_ends: set[int] = field(default_factory=set)
    lapsed_end: int = 0
    has_run_twice: bool = False
    epoch: int = 0
    lease_expires_at: float = 0.0

    def start(self, order: StartOrder, epoch: int, deadline: float, now: float):
        """Carry out a start order, and return its result."""
        if epoch < self.epoch:
            return StartResult.FENCED
        self.epoch = epoch
        self.lease_expires_at = max(self.lease_expires_at, deadline)
        if deadline <= now:
            return StartResult.LATE
        if self.running.get(order.task) == order.run:
            return StartResult.STARTED
        if order.run <= self.highest_ended_run.get(order.task, 0):
            return StartResult.OLD_RUN
        self.running[order.task] = order.run
        return StartResult.STARTED

    def stop(self, order: StopOrder):
        """Carry out a stop order."""
        self.highest_ended_run[order.task] = max(
            order.run, self.highest_ended_run.get(order.task, 0)
        )
        if self.running.get(order.task) == order.run:
            self.end(order.task, EndReason.STOPPED)

    def end(self, task: TaskId, reason: EndReason):
        """End a run, and queue its end for the next report."""
        run = self.running.pop(task)
        self.highest_ended_run[task] = max(run, self.highest_ended_run.get(task, 0))
        self.end_count += 1
        self.ended.append(EndedRun(self.end_count, task, run, reason, ""))

    def done_ends(self):
        """Return the unacknowledged ends `done` since the lease last lapsed."""
        return [
            end
            for end in self.ended
            if end.reason is EndReason.DONE and end.end_number > self.lapsed_end
        ]

    def note_start(self, task: TaskId):
        """Note that a task has been started, here or elsewhere."""
        self.has_run_twice |= task in self.acknowledged_done
        self.repeated_ends |= {e.end_number for e in self.done_ends() if e.task == task}

    def lapse(self):
        """End all runs, as their lease has expired."""
        for task in list(self.running):
            self.end(task, EndReason.LAPSED)
        self.lapsed_end = self.end_count

    def restart(self):
        """Lose all runs and restart under the same id as a new incarnation."""
        self.entry = replace(self.entry, incarnation=self.entry.incarnation + 1)
        self.running, self.ended, self.highest_ended_run, self.percent = {}, [], {}, {}
        self.end_count, self.epoch, self.lease_expires_at = 0, 0, 0.0
        self.repeated_ends, self.lapsed_end = set(), 0

    def renew(self, epoch: int, deadline: float) -> None:
        """Extend the lease of all runs; it never shortens."""
        self.epoch = max(self.epoch, epoch)
        self.lease_expires_at = max(self.lease_expires_at, deadline)

    def report(self, acknowledged: int) -> RenewalReport:
        """Return the response to a renewal of the leases."""
        for end in self.done_ends():
            if end.end_number <= acknowledged:
                self.acknowledged_done.add(end.task)
                self.has_run_twice |= end.end_number in self.repeated_ends
        self.ended = [end for end in self.ended if end.end_number > acknowledged]
        rows = tuple(
            RunningTask(task, run, "", self.percent.get(task, 50))
            for task, run in self.running.items()
        )
        listed = tuple(self.ended[: self.max_listed_ends])
        return RenewalReport(
            self.entry.incarnation,
            0,
            rows,
            listed,
            has_all_ends=len(listed) < self.max_listed_ends,
        )


class ModelFleet:
    """Simulate upstreams and the owner's scheduler; every call gets its response."""

    def __init__(self, count=2, cpu=4 * CORE, configuration=None):
        """Create the upstreams of one pool and list them in the scheduler."""
        self.now = 100.0
        self.epoch = 1
        self.upstreams = {
            f"u{n}": ModelUpstream(
                UpstreamEntry(
                    f"u{n}",
                    "pool",
                    f"10.0.0.{n}:80",
                    "zone",
                    1,
                    Resources(cpu, 1_000_000, 0),
                    frozenset({f"r{n}"}),
                    False,
                )
            )
            for n in range(count)
        }
        self.configuration = configuration or make_configuration()
        self.scheduler = self.make_scheduler(policy=FIRST_OWNER)

    def make_scheduler(self, inherited=MappingProxyType({}), policy=SCHEDULING_POLICY):
        """Return the scheduler of an owner that has just taken over.

        `inherited` is what the owner before it told of leases.
        """
        scheduler = Scheduler(policy, inherited)
        scheduler.set_configuration(self.configuration)
        for upstream in self.upstreams.values():
            scheduler.upstream_listed(upstream.entry, self.now)
        return scheduler

    def renew(self, name):
        """Renew the leases of an upstream and apply its report."""
        known = self.scheduler.state.upstreams[name]
        model = self.upstreams[name]
        self.now += 0.001
        requested_at = self.now
        model.renew(self.epoch, self.grant_renewal(name))
        self.now += 0.01
        # The connection tells incarnations apart; the first call over it acknowledges
        # nothing.
        is_same = known.entry.incarnation == model.entry.incarnation
        report = model.report(known.recorded_end if is_same else 0)
        self.scheduler.report_received(name, report, requested_at, self.now)
        known = self.scheduler.state.upstreams[name]
        if known.lease is None:
            known.lease = LeaseTracker(self.now, round(self.now * 1000))
        known.lease.observe_clock(self.now, round(self.now * 1000))

    def grant_renewal(self, name):
        """Return the deadline that the owner's next poll of an upstream grants."""
        known = self.scheduler.state.upstreams[name]
        if known.lease is None or not known.is_reachable:
            return 0.0
        return known.lease.extend(self.now, LEASE_SECONDS) / 1000

    def grant_start(self, name):
        """Return the lease deadline of the owner's next start on an upstream.

        None while its clock is unknown: then the start is not sent.
        """
        lease = self.scheduler.state.upstreams[name].lease
        if lease is None:
            return None
        deadline_ms = lease.deadline_for_start(
            self.now, MIN_START_LEASE_SECONDS, LEASE_SECONDS
        )
        return deadline_ms / 1000

    def renew_all(self):
        """Renew the leases of all upstreams and apply their reports."""
        for name in self.upstreams:
            self.renew(name)

    def record(self):
        """Return the progress that an owner would record, and mark ends as recorded."""
        changed = self.scheduler.pop_dirty_progress()
        self.scheduler.progress_recorded()
        for upstream in self.scheduler.state.upstreams.values():
            upstream.recorded_end = upstream.applied_end
        return changed

    def plan_starts(self):
        """Plan and record starts, and return those that may be sent."""
        orders = self.scheduler.plan_starts(self.now, round(self.now * 1000))
        self.record()
        return orders

    def send(self, order):
        """Send a start and apply the response."""
        result = StartResult.LATE
        deadline = self.grant_start(order.upstream)
        if deadline is not None:
            self.scheduler.start_sent(order, round(deadline * 1000), self.now)
            model = self.upstreams[order.upstream]
            result = model.start(order, self.epoch, deadline, self.now)
        self.scheduler.start_answered(order, result, self.now)
        return result

    def place(self):
        """Start all tasks that fit, and return the orders."""
        orders = self.plan_starts()
        for order in orders:
            self.send(order)
        return orders

    def send_stops(self):
        """Send the stops that are due, and return them."""
        orders = self.scheduler.plan_stops(self.now)
        for order in orders:
            self.upstreams[order.upstream].stop(order)
            self.scheduler.stop_answered(order, self.now)
        return orders

    def finish(self, task, reason=EndReason.DONE):
        """End the runs of a task on all upstreams."""
        for model in self.upstreams.values():
            if task in model.running:
                model.end(task, reason)

    def runs_of(self, task):
        """Return how many upstreams run a task."""
        return sum(task in model.running for model in self.upstreams.values())


def add(fleet, job):
    """Add a new job to the scheduler of a fleet."""
    fleet.scheduler.add_job(job, None, fleet.now)
