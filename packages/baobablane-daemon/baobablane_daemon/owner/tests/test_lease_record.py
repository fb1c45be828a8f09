"""Test on which upstreams an owner may grant leases, by what its heartbeats say."""

import pytest
from baobablane.deployment import Resources, UpstreamEntry
from baobablane.jobs import TaskId
from baobablane.scheduling import (
    InheritedLease,
    LeaseTracker,
    Scheduler,
    SchedulingPolicy,
)
from baobablane.scheduling._inheritable_leases import MIN_UNREACHABLE_SECONDS
from baobablane.scheduling._upstream import Run

from baobablane_daemon.owner._lease_record import LeaseRecord, decode_inherited

EPOCH = 5
NOW = 1_000.0
RENEWAL_AGE = -2.5
UNKNOWN_SECONDS = SchedulingPolicy().unknown_lease_seconds
ROOM = Resources(8_000, 8_000, 0)
ENTRY = UpstreamEntry("u", "pool", "10.0.0.1:80", "z", 7, ROOM, frozenset(), False)
TASK = TaskId("00000000000000a1", 0, 0, 0)
INHERITED = {"u": InheritedLease(7, NOW + 2.0, 2)}


class Takeover:
    """Hold an owner that begins at NOW, and an upstream that is recorded to run."""

    def __init__(self, inherited=None):
        """Read the topics, and reach nothing yet."""
        inherited = inherited or {}
        self.scheduler = Scheduler(SchedulingPolicy(), inherited)
        self.scheduler.upstream_listed(ENTRY, NOW)
        self.upstream = self.scheduler.state.upstreams["u"]
        self.upstream.add(Run(TASK, 1, Resources(1, 1, 0), "a", True, False, NOW))
        self.record = LeaseRecord(
            self.scheduler,
            EPOCH,
            inherited,
            lambda now: RENEWAL_AGE,
            NOW,
        )

    def store_heartbeat(self, now=NOW):
        """Store a heartbeat, and return what it says of leases."""
        bounds = self.record.make_bounds(now)
        self.record.note_stored()
        return bounds

    def reach(self, now=NOW):
        """Let the upstream respond, and renew its leases if that is allowed."""
        self.upstream.is_reachable = True
        self.upstream.lease = self.upstream.lease or LeaseTracker(now, 1)
        if self.record.may_grant("u"):
            self.upstream.lease.extend(now, 3.8)

    def lose(self, now):
        """Let the upstream stop to respond."""
        self.upstream.is_reachable = False
        self.upstream.unreachable_since = now


class TestGrants:
    """Test that no lease is granted that the next owner would not know of."""

    def test_claim_that_names_the_upstream_allows_none(self):
        owner = Takeover(INHERITED)
        assert not owner.record.may_grant("u")
        bounds = owner.store_heartbeat()
        assert list(bounds.by_upstream) == ["u"]
        assert bounds.earlier_renewal_age == RENEWAL_AGE
        assert not owner.record.may_grant("u")

    def test_others_get_leases_at_once(self):
        """Guards against tasks that lapse while the store is slow at a takeover."""
        owner = Takeover()
        owner.record.complete()
        assert owner.record.may_grant("u")
        owner.store_heartbeat()
        assert owner.record.may_grant("u")

    def test_heartbeat_that_names_the_upstream_allows_none(self):
        owner = Takeover(INHERITED)
        owner.record.complete()
        assert "u" in owner.store_heartbeat().by_upstream
        owner.reach()
        assert owner.record.is_outdated()
        assert not owner.record.may_grant("u")
        assert not owner.upstream.accepts(NOW)
        assert "u" not in owner.store_heartbeat().by_upstream
        assert owner.record.may_grant("u")
        assert owner.upstream.accepts(NOW)

    def test_heartbeat_on_its_way_counts_as_stored(self):
        owner = Takeover()
        owner.record.complete()
        owner.reach()
        owner.store_heartbeat()
        owner.reach()
        owner.lose(NOW)
        later = NOW + MIN_UNREACHABLE_SECONDS
        assert "u" in owner.record.make_bounds(later).by_upstream
        owner.reach(later)
        assert not owner.record.may_grant("u")

    def test_upstream_that_is_lost_for_a_moment_keeps_its_leases(self):
        """Guards against leases that lapse while the store is away as well."""
        owner = Takeover()
        owner.record.complete()
        owner.reach()
        owner.store_heartbeat()
        owner.reach()
        owner.lose(NOW)
        owner.store_heartbeat(NOW + 0.9 * MIN_UNREACHABLE_SECONDS)
        assert owner.record.may_grant("u")


class TestBounds:
    """Test what the next owner learns of an upstream that was not reached."""

    def decode(self, bounds):
        return decode_inherited(bounds, NOW)["u"]

    def test_upstream_of_unknown_leases_gets_the_bound_of_the_takeover(self):
        owner = Takeover()
        owner.record.complete()
        owner.lose(NOW)
        lease = self.decode(owner.store_heartbeat(NOW + MIN_UNREACHABLE_SECONDS))
        assert lease.expires_at >= NOW + UNKNOWN_SECONDS - MIN_UNREACHABLE_SECONDS
        assert (lease.incarnation, lease.epoch) == (7, EPOCH - 1)

    def test_bound_of_an_earlier_owner_counts_also_if_it_is_later(self):
        """Guards against two runs: what is told of other upstreams is sooner."""
        owner = Takeover({"u": InheritedLease(7, NOW + UNKNOWN_SECONDS + 2.0, 2)})
        expiry = owner.upstream.latest_lease_expiry(UNKNOWN_SECONDS)
        assert expiry == NOW + UNKNOWN_SECONDS + 2.0

    def test_bound_of_an_earlier_owner_is_handed_on(self):
        owner = Takeover(INHERITED)
        owner.record.complete()
        lease = self.decode(owner.store_heartbeat(NOW + 1.5))
        assert lease.expires_at == pytest.approx(NOW + 0.5, abs=0.002)
        assert lease.epoch == 2

    def test_bound_of_another_incarnation_is_not(self):
        owner = Takeover({"u": InheritedLease(6, NOW + 2.0, 2)})
        owner.record.complete()
        assert not owner.store_heartbeat().by_upstream
        expiry = owner.upstream.latest_lease_expiry(UNKNOWN_SECONDS)
        assert expiry >= NOW + UNKNOWN_SECONDS

    def test_leases_that_were_granted_since_count(self):
        owner = Takeover(INHERITED)
        owner.record.complete()
        owner.reach()
        owner.store_heartbeat()
        owner.reach(NOW + 1.0)
        owner.lose(NOW + 1.0)
        lease = self.decode(owner.store_heartbeat(NOW + 1.0 + MIN_UNREACHABLE_SECONDS))
        assert lease.expires_at >= NOW + 3.8 - MIN_UNREACHABLE_SECONDS
        assert lease.epoch == EPOCH

    def test_response_alone_proves_no_end_of_earlier_leases(self):
        """Guards against a second run beside one under a lease of an earlier owner."""
        owner = Takeover()
        owner.upstream.lease = LeaseTracker(NOW, 1)
        owner.lose(NOW)
        expiry = owner.upstream.latest_lease_expiry(UNKNOWN_SECONDS)
        assert expiry >= NOW + UNKNOWN_SECONDS
