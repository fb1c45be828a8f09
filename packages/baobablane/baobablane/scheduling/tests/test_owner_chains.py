"""Test that owners who follow one another put nothing off without end.

A bound that counts from the takeover begins anew with each owner, so that a chain of
short ownerships may never reach its end (docs/design/takeover-bounds.md).
"""

import math
from dataclasses import replace

import pytest

from baobablane.jobs import JobState, TaskId

from .fleet_model import ModelFleet, add, make_job, make_step
from .test_late_crashes import LateFleet

JOB = "1" * 16
TASK = TaskId(JOB, 0, 0, 0)


class ChainFleet(ModelFleet):
    """Simulate a fleet whose owner is replaced after some seconds, again and again."""

    def __init__(self, owner_seconds, **options):
        """Create the fleet; every owner lasts for `owner_seconds`."""
        super().__init__(**options)
        self.owner_seconds = owner_seconds
        # Progress that all runs report.
        self.percent = 100
        self.began_at = self.now
        self.renew_all()

    def advance(self, seconds):
        """Run the owners and the upstreams for some time."""
        end = self.now + seconds
        while self.now < end:
            self.now += 0.1
            if self.now - self.began_at >= self.owner_seconds:
                self.replace_owner()
            self.scheduler.remove_unlisted(self.now)
            self.scheduler.expire_unreachable(self.now)
            self.renew_all()
            self.send_stops()
            self.place()

    def renew(self, name):
        """Renew the leases of an upstream and apply its report."""
        model = self.upstreams[name]
        model.percent = dict.fromkeys(model.running, self.percent)
        super().renew(name)

    def send_stops(self):
        """Send the stops that are due to the upstreams that are there."""
        for order in self.scheduler.plan_stops(self.now):
            if order.upstream in self.upstreams:
                self.upstreams[order.upstream].stop(order)
                self.scheduler.stop_answered(order, self.now)

    def replace_owner(self):
        """Let another owner take over from what is recorded."""
        job_runs = list(self.scheduler.state.jobs.values())
        inherited = self.scheduler.inheritable_leases(self.epoch, self.now)
        self.epoch += 1
        self.began_at = self.now
        self.scheduler = self.make_scheduler(inherited)
        for job_run in job_runs:
            self.scheduler.add_job(job_run.job, job_run.progress(), self.now)

    def task(self):
        """Return the progress of the task as the present owner has it."""
        return self.scheduler.state.jobs[JOB].find_task(TASK)[1]


def owners(seconds):
    """Parametrize a test with one owner, and with a chain of them."""
    return pytest.mark.parametrize(
        "owner_seconds", [math.inf, seconds], ids=["one-owner", "chain"]
    )


class TestStalledRuns:
    """Test runs without progress, whose time begins anew with each owner."""

    @owners(3.0)
    def test_long_running_task_that_never_gets_ready_is_started_again(
        self, owner_seconds
    ):
        fleet = ChainFleet(owner_seconds)
        fleet.percent = 50
        add(fleet, make_job(make_step(is_lasting=True), name=JOB))
        fleet.advance(30.0)
        assert fleet.task().run > 1

    @owners(5.0)
    def test_slow_task_ends_after_it_was_stopped_in_vain(self, owner_seconds):
        """Guards against a task that each owner stops twice, so that it never ends."""
        fleet = ChainFleet(owner_seconds)
        fleet.percent = 50
        add(fleet, make_job(name=JOB))
        run, began_at = 0, fleet.now
        while fleet.now < 200.0 and JOB in fleet.scheduler.state.jobs:
            fleet.advance(0.1)
            if fleet.task().run != run:
                run, began_at = fleet.task().run, fleet.now
            elif fleet.now - began_at >= 10.0:
                fleet.finish(TASK)
                fleet.renew_all()
                break
        assert fleet.scheduler.state.jobs[JOB].state is JobState.COMPLETED


class TestUnlistedUpstreams:
    """Test upstreams without an entry, which each owner awaits anew."""

    @owners(5.0)
    def test_task_of_one_that_never_returns_is_started_elsewhere(self, owner_seconds):
        fleet = ChainFleet(owner_seconds)
        add(fleet, make_job(make_step(is_lasting=True), name=JOB))
        fleet.advance(1.0)
        del fleet.upstreams[fleet.task().upstream]
        # The owner at that time is lost as well.
        fleet.replace_owner()
        fleet.advance(30.0)
        assert fleet.task().run == 2


class TestEarlierIncarnations:
    """Test runs of an earlier life of an upstream, whose leases each owner awaits."""

    @owners(3.0)
    def test_task_is_started_elsewhere(self, owner_seconds):
        """Guards against a whole lease that each takeover awaits from its own start."""
        fleet = ChainFleet(owner_seconds)
        add(fleet, make_job(make_step(is_lasting=True), name=JOB))
        fleet.advance(1.0)
        name = fleet.task().upstream
        lost = fleet.upstreams.pop(name).entry
        restarted = replace(lost, incarnation=lost.incarnation + 1)
        # It restarted under its id while nobody owned, and nobody reaches it.
        fleet.replace_owner()
        began_at = fleet.now
        while fleet.now - began_at < 30.0:
            fleet.scheduler.upstream_listed(restarted, fleet.now)
            fleet.scheduler.renewal_failed(name, fleet.now)
            fleet.advance(0.1)
        assert fleet.task().run == 2


class TestLateCrashes:
    """Test a task that crashes its upstreams after it has settled.

    Its losses are not recorded, so that each owner begins to count them anew.
    """

    @owners(8.0)
    def test_it_is_given_up(self, owner_seconds):
        fleet = LateFleet(8, [TASK])
        add(fleet, make_job(make_step(is_lasting=True), name=JOB))
        began_at = fleet.now
        while fleet.now < 300.0 and not fleet.state_of(JOB).is_final():
            fleet.advance(0.5)
            if fleet.now - began_at >= owner_seconds:
                fleet.replace_owner()
                began_at = fleet.now
        assert fleet.state_of(JOB) is JobState.FAILED


class TestLeasesOfEarlierOwners:
    """Test upstreams that a new owner has heard once, and renewed no lease on."""

    def test_task_is_not_started_elsewhere_before_its_lease_is_over(self):
        """Guards against two runs of a task: the earlier owner's lease still counts."""
        fleet = ChainFleet(math.inf)
        add(fleet, make_job(make_step(is_lasting=True), name=JOB))
        fleet.advance(2.0)
        name = fleet.task().upstream
        (other,) = set(fleet.upstreams) - {name}
        fleet.replace_owner()
        fleet.renew_all()
        while fleet.now < fleet.upstreams[name].lease_expires_at:
            fleet.scheduler.renewal_failed(name, fleet.now)
            fleet.renew(other)
            fleet.place()
            assert fleet.runs_of(TASK) == 1
            fleet.now += 0.1
