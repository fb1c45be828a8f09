"""Test by when an upstream that was reached once is taken to run nothing.

A new owner reached upstreams, granted leases of no length and lost them. Their tasks
were started elsewhere, while the leases of the owner before it went on for seconds.
"""

import pytest

from baobablane.jobs import TaskId
from baobablane.scheduling import InheritedLease, LeaseTracker, SchedulingPolicy

from .fleet_model import LEASE_SECONDS, add, make_job, make_step

JOB = "0" * 16
FIRST = TaskId(JOB, 0, 0, 0)
UNKNOWN_SECONDS = SchedulingPolicy().unknown_lease_seconds
INHERITED_SECONDS = 6.0


def take_over(fleet, lease_seconds, inherited=None, was_reached=True):
    """Let an owner take over, reach the upstream of a task for a moment and lose it.

    Return the upstream's name.
    """
    job = make_job(make_step(is_lasting=True))
    add(fleet, job)
    (order,) = fleet.plan_starts()
    fleet.send(order)
    progress = fleet.scheduler.state.jobs[JOB].progress()
    fleet.epoch += 1
    fleet.scheduler = fleet.make_scheduler(inherited or {})
    fleet.scheduler.add_job(job, progress, fleet.now)
    if was_reached:
        fleet.renew(order.upstream)
        upstream = fleet.scheduler.state.upstreams[order.upstream]
        upstream.lease = LeaseTracker(fleet.now, round(fleet.now * 1000))
        if lease_seconds is not None:
            upstream.lease.extend(fleet.now, lease_seconds)
    fleet.scheduler.renewal_failed(order.upstream, fleet.now)
    return order.upstream


def seconds_until_start(fleet, lost, max_seconds=20.0):
    """Return after which time the task is started elsewhere."""
    began_at = fleet.now
    while fleet.now - began_at < max_seconds:
        for name in fleet.upstreams:
            if name != lost:
                fleet.renew(name)
        fleet.scheduler.renewal_failed(lost, fleet.now)
        fleet.scheduler.expire_unreachable(fleet.now)
        if fleet.plan_starts():
            return fleet.now - began_at
        fleet.now += 0.1
    return max_seconds


@pytest.mark.parametrize("lease_seconds", [None, 0.0, 0.5, 2.0])
class TestShortLeases:
    """Test own leases that are shorter than what an earlier owner may have granted."""

    def test_unknown_lease_of_an_earlier_owner_counts(self, fleet, lease_seconds):
        """Guards against two runs of a task after a short lease."""
        lost = take_over(fleet, lease_seconds)
        assert seconds_until_start(fleet, lost) >= UNKNOWN_SECONDS - 0.1

    def test_recorded_lease_of_an_earlier_owner_counts(self, fleet, lease_seconds):
        """Guards against the same where the earlier owner told of the lease."""
        expires_at = fleet.now + INHERITED_SECONDS
        inherited = {name: InheritedLease(1, expires_at, 1) for name in fleet.upstreams}
        lost = take_over(fleet, lease_seconds, inherited)
        began_at = fleet.now
        seconds = seconds_until_start(fleet, lost)
        assert began_at + seconds >= expires_at
        assert began_at + seconds < expires_at + 0.5

    def test_next_owner_is_told_of_the_longest_lease(self, fleet, lease_seconds):
        """Guards against a successor that relies on the short lease."""
        lost = take_over(fleet, lease_seconds)
        taken_over_at = fleet.now
        fleet.scheduler.expire_unreachable(fleet.now)
        fleet.now += 1.5
        told = fleet.scheduler.inheritable_leases(fleet.epoch, fleet.now)
        assert told[lost].expires_at >= taken_over_at + UNKNOWN_SECONDS - 0.1


class TestLongLeases:
    """Test own leases that are longer than those of earlier owners."""

    def test_own_lease_counts(self, fleet):
        lost = take_over(fleet, UNKNOWN_SECONDS + LEASE_SECONDS)
        seconds = seconds_until_start(fleet, lost)
        assert seconds >= UNKNOWN_SECONDS + LEASE_SECONDS

    def test_upstream_that_was_never_reached_has_the_earlier_bound(self, fleet):
        lost = take_over(fleet, None, was_reached=False)
        seconds = seconds_until_start(fleet, lost)
        assert seconds == pytest.approx(UNKNOWN_SECONDS, abs=0.3)
