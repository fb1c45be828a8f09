"""Test that a process acts on no ownership that has run out.

A process may be suspended between any two steps. When it goes on, its tasks run before
it notices that another process has become the owner.
"""

import math
from types import SimpleNamespace

import pytest
from baobablane.deployment import NO_RESOURCES
from baobablane.jobs import Job, JobProgress, JobState, Step, Task, TaskId, TaskState
from baobablane.scheduling import (
    SLOWEST_CLOCK_RATE,
    LeaseTracker,
    PaceOrder,
    Scheduler,
    SchedulingPolicy,
    StartOrder,
    StartResult,
    StopOrder,
)
from baobablane.scheduling._job_run import JobRun
from baobablane.scheduling._upstream import Run
from baobablane_platform import StoreFencedError

from baobablane_daemon.decision_log import DecisionLog
from baobablane_daemon.jobs import boot_seconds
from baobablane_daemon.owner._lease_record import LEASE_SECONDS
from baobablane_daemon.owner._order_channels import OrderChannels
from baobablane_daemon.owner._order_sender import OrderSender
from baobablane_daemon.owner._ownership import MAX_UNCONFIRMED_SECONDS, Ownership
from baobablane_daemon.owner._upstream_poller import UpstreamPoller

from .lease_records import make_lease_record

TASK = TaskId("0" * 16, 0, 0, 0)


class RecordingClient:
    """Record the calls to upstreams instead of sending them."""

    def __init__(self):
        """Start without calls."""
        self.calls = []

    async def close(self):
        """Close nothing."""

    def __getattr__(self, name):
        """Return a call that is recorded under its name."""

        async def call(*args):
            self.calls.append(name)
            return StartResult.STARTED

        return call


@pytest.fixture
def client():
    """Return a client that records its calls."""
    return RecordingClient()


def make_scheduler():
    """Return a scheduler in which the start of TASK on the upstream `u` is recorded."""
    entry = SimpleNamespace(incarnation=1, address="10.0.0.1:80", zone="zone")
    upstream = SimpleNamespace(
        id="u",
        entry=entry,
        lease=SimpleNamespace(
            deadline_for_start=lambda *args: 1, extend=lambda *args: 1
        ),
        runs={TASK: Run(TASK, 1, NO_RESOURCES, "account", False, False, 0.0)},
        remove=lambda task: None,
        applied_end=0,
        recorded_end=0,
        is_reachable=True,
        is_over_capacity=lambda: False,
    )
    scheduler = Scheduler(SchedulingPolicy())
    scheduler.state.upstreams["u"] = upstream
    steps = (Step(1, NO_RESOURCES),)
    job = Job(TASK.job, "queue", "pool", "account", "spec", steps, 0)
    progress = JobProgress(JobState.RUNNING, {"0.0.0": Task(TaskState.STARTED, 1)})
    scheduler.state.jobs[TASK.job] = JobRun(job, progress, 0.0)
    return scheduler


class TestOrders:
    """Test orders of an owner whose confirmation is `age` seconds old."""

    def make_sender(self, client, age, window=math.inf):
        """Return a sender and its poller."""
        scheduler = make_scheduler()
        log = DecisionLog("entry-1")

        def may_order(seconds):
            return age < seconds

        poller = UpstreamPoller(
            "u",
            1,
            scheduler,
            client,
            log,
            lambda: None,
            may_order,
            make_lease_record(scheduler),
        )
        sender = OrderSender(
            scheduler,
            {"u": poller},
            OrderChannels(lambda: client),
            "",
            log,
            1,
            lambda: None,
            may_order,
            lambda zone: window,
        )
        return sender, poller

    async def send_all(self, client, age, window=math.inf):
        """Send one order of each kind."""
        sender, poller = self.make_sender(client, age, window)
        await sender.send_start(StartOrder(TASK, 1, "", "", "u", 1))
        await sender.send_stop(StopOrder(TASK, 1, "u"))
        await sender.send_pace(PaceOrder(TASK, 1, "u", 50))
        await sender.close()
        return poller

    async def test_confirmed_owner_sends_all_orders(self, client):
        await self.send_all(client, 0.1)
        assert client.calls == ["start", "stop", "set_pace"]

    async def test_no_start_is_sent_for_a_task_that_is_done(self, client):
        """Guards against a run of a task whose earlier run is reported as done."""
        sender, _ = self.make_sender(client, 0.1)
        job_run = sender._scheduler.state.jobs[TASK.job]
        order = StartOrder(TASK, 1, "", "", "u", 1)
        job_run.steps[(0, 0)].finish(0, 0)
        assert await sender._try_start(order, client) is StartResult.LATE
        assert client.calls == []
        await sender.close()

    async def test_no_start_is_sent_after_a_suspension(self, client):
        await self.send_all(client, 2.0)
        assert "start" not in client.calls

    async def test_no_start_is_sent_once_its_zone_is_closed(self, client):
        """Guard against starts that were recorded before the evacuation was read."""
        await self.send_all(client, 0.1, 0.0)
        assert client.calls == ["stop", "set_pace"]

    @pytest.mark.parametrize(("window", "seconds"), [(math.inf, 3.8), (1.0, 0.98)])
    async def test_deadline_bounds_a_start_in_flight(self, client, window, seconds):
        """Guard against a delayed start in a zone that is closed by then."""
        poller = await self.send_all(client, 0.1)
        lease = LeaseTracker(boot_seconds(), 0)
        poller._scheduler.state.upstreams["u"].lease = lease
        deadline_ms = poller.start_deadline_ms(window)
        assert deadline_ms == pytest.approx(seconds * 1000, abs=300)

    async def test_start_on_an_expired_lease_postpones_the_known_expiry(self, client):
        """Guard against a second run while the first one's lease goes on."""
        poller = await self.send_all(client, 0.1)
        read_at = boot_seconds() - 6.0
        lease = LeaseTracker(read_at, 0)
        granted_ms = lease.extend(read_at, LEASE_SECONDS)
        poller._scheduler.state.upstreams["u"].lease = lease
        deadline_ms = poller.start_deadline_ms()
        assert deadline_ms > granted_ms
        slowest_seconds = deadline_ms / 1000 / SLOWEST_CLOCK_RATE
        assert lease.latest_expiry() >= read_at + slowest_seconds

    async def test_no_order_is_sent_once_the_ownership_has_run_out(self, client):
        poller = await self.send_all(client, MAX_UNCONFIRMED_SECONDS)
        await poller._poll()
        assert client.calls == []


class TestEpochs:
    """Test a process that becomes the owner again under a later epoch."""

    def make_ownership(self):
        """Return an ownership that has begun under epoch 2."""
        ownership = Ownership(None, None, DecisionLog("i"), "i-1", True, None)
        ownership._begin_ownership(2, 1e12)
        return ownership

    def test_earlier_epoch_may_not_order(self):
        ownership = self.make_ownership()
        assert ownership.holds(2, 4.0)
        assert not ownership.holds(1, 4.0)

    def test_late_error_of_an_earlier_epoch_ends_no_later_one(self):
        ownership = self.make_ownership()
        ownership.end(f"fenced: {StoreFencedError()}", 1)
        assert ownership.epoch == 2
        ownership.end("fenced", 2)
        assert ownership.epoch is None
