"""Search for races between orders, restarts, lost connections and takeovers."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from baobablane.jobs import JobState, TaskId
from baobablane.scheduling import EndReason, StartResult

from .fleet_model import CORE, ModelFleet, make_job, make_step

NAMES = ("u0", "u1", "u2")
JOBS = ("1" * 16, "2" * 16)
# An order without a response may be carried out up to this long after it was sent.
LATE_SECONDS = 12.0
# So few that an upstream often has more than a report lists.
MAX_LISTED_ENDS = 1


class OwnerMachine(RuleBasedStateMachine):
    """Drive one owner after another against upstreams that lose and delay orders."""

    def __init__(self):
        """Start with two jobs on three upstreams."""
        super().__init__()
        self.fleet = ModelFleet(count=len(NAMES), cpu=2 * CORE)
        for model in self.fleet.upstreams.values():
            model.max_listed_ends = MAX_LISTED_ENDS
        self.jobs = [make_job(make_step(2), make_step(1, after=(0,)), name=JOBS[0])]
        self.jobs.append(make_job(make_step(3), name=JOBS[1]))
        for job in self.jobs:
            self.fleet.scheduler.add_job(job, None, self.fleet.now)
        self.recorded = {}
        self.late_orders = []
        self.unreachable_until = {}
        self.recorded_done = set()
        self.cancelled = set()

    def record(self):
        """Record progress, as an owner does before it sends orders."""
        changed = self.fleet.record()
        for job, progress in changed.items():
            tasks = {
                key: type(task)(**{f: getattr(task, f) for f in task.__struct_fields__})
                for key, task in progress.tasks.items()
            }
            self.recorded[job] = type(progress)(
                progress.state, tasks, progress.first_open
            )
            for key, task in tasks.items():
                if task.state == 2:
                    self.recorded_done.add((job, key))

    def start(self, order, epoch, deadline):
        """Carry out a start, and return its result."""
        model = self.fleet.upstreams[order.upstream]
        is_running = order.task in model.running
        result = model.start(order, epoch, deadline, self.fleet.now)
        if order.task in model.running and not is_running:
            for other in self.fleet.upstreams.values():
                other.note_start(order.task)
        return result

    def is_unreachable(self, name):
        """Return whether an upstream is unreachable now."""
        return self.fleet.now < self.unreachable_until.get(name, 0.0)

    @rule(losses=st.lists(st.sampled_from(["sent", "lost", "unheard"]), max_size=6))
    def place(self, losses):
        """Start what fits; some orders are delayed, and some responses are lost."""
        fleet = self.fleet
        orders = fleet.scheduler.plan_starts(fleet.now, round(fleet.now * 1000))
        self.record()
        for number, order in enumerate(orders):
            key = f"{order.task.occurrence}.{order.task.step}.{order.task.position}"
            assert (order.task.job, key) not in self.recorded_done
            assert order.task.job not in self.cancelled
            outcome = losses[number] if number < len(losses) else "sent"
            deadline = fleet.grant_start(order.upstream)
            if deadline is None:
                result = StartResult.LATE
            elif self.is_unreachable(order.upstream) or outcome == "lost":
                self.late_orders.append((order, fleet.epoch, deadline, fleet.now))
                result = StartResult.UNKNOWN
            else:
                result = self.start(order, fleet.epoch, deadline)
                if outcome == "unheard":
                    result = StartResult.UNKNOWN
            fleet.scheduler.start_answered(order, result, fleet.now)

    @rule(name=st.sampled_from(NAMES), is_heard=st.booleans())
    def obtain_report(self, name, is_heard=False):
        """Renew the leases of an upstream, and apply its report if it is reachable.

        If not, the upstream may have heard the renewal.
        """
        if self.is_unreachable(name):
            deadline = self.fleet.grant_renewal(name)
            if is_heard:
                self.fleet.upstreams[name].renew(self.fleet.epoch, deadline)
            self.fleet.scheduler.renewal_failed(name, self.fleet.now)
        else:
            self.fleet.renew(name)
        self.record()

    @rule()
    def stop(self):
        """Send the stops that are due."""
        fleet = self.fleet
        for order in fleet.scheduler.plan_stops(fleet.now):
            if not self.is_unreachable(order.upstream):
                fleet.upstreams[order.upstream].stop(order)
                fleet.scheduler.stop_answered(order, fleet.now)

    @rule(seconds=st.sampled_from([0.05, 0.4, 2.0, 6.0]))
    def wait(self, seconds):
        """Let time pass; leases expire, and the oldest late orders are dropped."""
        fleet = self.fleet
        fleet.now += seconds
        for model in fleet.upstreams.values():
            if fleet.now >= model.lease_expires_at:
                model.lapse()
        self.late_orders = [
            row for row in self.late_orders if fleet.now - row[3] <= LATE_SECONDS
        ]

    @precondition(lambda self: self.late_orders)
    @rule(data=st.data())
    def arrive_late(self, data):
        """Carry out an order that had no response."""
        self.carry_out(data.draw(st.sampled_from(self.late_orders)))

    def carry_out(self, row):
        """Carry out one of the orders that had no response."""
        self.late_orders.remove(row)
        order, epoch, deadline, _ = row
        # The order names the upstream by its id, which a restart does not change.
        self.start(order, epoch, deadline)

    @rule(name=st.sampled_from(NAMES), seconds=st.sampled_from([0.5, 3.0, 7.0]))
    def disconnect(self, name, seconds):
        """Make an upstream unreachable for a while."""
        self.unreachable_until[name] = self.fleet.now + seconds

    @rule(name=st.sampled_from(NAMES))
    def restart(self, name):
        """Restart an upstream under the same id."""
        self.fleet.upstreams[name].restart()

    @rule(reason=st.sampled_from([EndReason.DONE, EndReason.DONE, EndReason.FAILED]))
    def finish(self, reason):
        """End the first run that is found."""
        for model in self.fleet.upstreams.values():
            for task in list(model.running):
                model.end(task, reason)
                return

    @rule()
    def finish_all(self):
        """End all runs as done."""
        for model in self.fleet.upstreams.values():
            for task in list(model.running):
                model.end(task, EndReason.DONE)

    @rule()
    def obtain_all_reports(self):
        """Renew the leases of all upstreams in reach, and apply their reports."""
        for name in NAMES:
            self.obtain_report(name)

    @rule(job=st.sampled_from(JOBS))
    def cancel(self, job):
        """Cancel a job."""
        self.fleet.scheduler.cancel_job(job)
        self.cancelled.add(job)

    @rule()
    def take_over(self):
        """Replace the owner by one that knows only the recorded progress."""
        fleet = self.fleet
        fleet.epoch += 1
        fleet.scheduler = fleet.make_scheduler()
        for job in self.jobs:
            progress = self.recorded.get(job.id)
            if progress is None or progress.state < JobState.COMPLETED:
                fleet.scheduler.add_job(job, progress, fleet.now)
                if job.id in self.cancelled:
                    fleet.scheduler.cancel_job(job.id)

    @invariant()
    def no_task_runs_twice(self):
        """Check that at most one run of a task is active at any time."""
        for job in self.jobs:
            for number, step in enumerate(job.steps):
                for index in range(step.count):
                    task = TaskId(job.id, 0, number, index)
                    assert self.fleet.runs_of(task) <= 1

    @invariant()
    def no_task_runs_again_after_an_acknowledged_end(self):
        """Check that an end `done` which is acknowledged, then or later, stands."""
        assert not any(m.has_run_twice for m in self.fleet.upstreams.values())

    @invariant()
    def capacity_is_kept(self):
        """Check that no upstream runs more tasks than it has room for."""
        for model in self.fleet.upstreams.values():
            assert len(model.running) <= 2


TestOwnerMachine = OwnerMachine.TestCase
TestOwnerMachine.settings = settings(stateful_step_count=40)


class TestStartOnIdleUpstream:
    """Test starts on upstreams whose leases had expired while they ran nothing."""

    def start_and_cut_off(self, *, is_lost):
        """Start all tasks on idle upstreams; the owner loses contact to one of them."""
        machine = OwnerMachine()
        # Then there is room for the other job without one upstream.
        machine.cancel(JOBS[0])
        machine.obtain_all_reports()
        machine.wait(6.0)
        if is_lost:
            machine.disconnect("u0", 3.0)
        machine.place(losses=[])
        machine.disconnect("u0", 3.0)
        machine.obtain_all_reports()
        machine.place(losses=[])
        return machine

    def test_task_starts_nowhere_else_while_it_runs(self):
        self.start_and_cut_off(is_lost=False).no_task_runs_twice()

    def test_task_starts_nowhere_else_while_its_order_may_arrive(self):
        machine = self.start_and_cut_off(is_lost=True)
        late = list(machine.late_orders)
        assert late
        for row in late:
            machine.carry_out(row)
        machine.no_task_runs_twice()
