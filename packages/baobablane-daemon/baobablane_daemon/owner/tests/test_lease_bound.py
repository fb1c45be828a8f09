"""Test for how long a new owner waits for upstreams that it can't reach.

Their tasks may run on under leases that an earlier owner renewed. A machine that was
silent to the store only had its work started again 5.2 s after a takeover, up to 2 s
before such a lease had expired. After a long outage, nothing can run for that long.
"""

from types import SimpleNamespace

import pytest
from baobablane.scheduling import SchedulingPolicy

from baobablane_daemon.decision_log import DecisionLog
from baobablane_daemon.jobs import LeaseBounds, OwnerHeartbeat, Peer
from baobablane_daemon.jobs._process_ends import ProcessEnds
from baobablane_daemon.owner._lease_record import (
    LEASE_SECONDS,
    MAX_LEASE_AFTER_HEARTBEAT_SECONDS,
)
from baobablane_daemon.owner._ownership import (
    MAX_UNCONFIRMED_SECONDS,
    Ownership,
)
from baobablane_daemon.owner._takeover_policy import (
    MIN_UNLISTED_GRACE_SECONDS,
    make_policy,
)

NOW = 1_000.0


def make_ownership(heartbeat_age, epoch=6, holder="other-1", **fields):
    """Return an ownership of epoch 7 after a heartbeat of another owner."""
    heartbeat = OwnerHeartbeat(NOW - heartbeat_age, 0, epoch, holder, True, **fields)
    views = SimpleNamespace(owner_heartbeat=heartbeat, process_ends=ProcessEnds())
    ownership = Ownership(None, views, DecisionLog("i"), "i-1", True, None)
    ownership._previous_heartbeat = heartbeat
    ownership._begin_ownership(7, NOW)
    return ownership


class TestLastRenewal:
    """Test when an earlier owner may have renewed a lease last."""

    @pytest.mark.parametrize("heartbeat_age", [0.0, 1.5, 6.0])
    def test_earlier_owner_renews_while_it_is_not_confirmed(self, heartbeat_age):
        age = make_ownership(heartbeat_age).last_renewal_age(NOW)
        # It may have been confirmed until the next heartbeat was due.
        assert age <= heartbeat_age - MAX_UNCONFIRMED_SECONDS - 0.4

    @pytest.mark.parametrize("fields", [{"holder": "i-0"}, {"is_leaving": True}])
    def test_owner_that_has_ended_renews_nothing(self, fields):
        bounds = LeaseBounds({}, 20.0)
        ownership = make_ownership(1.5, lease_bounds=bounds, **fields)
        ownership._started_at = NOW - 1.5
        assert ownership.last_renewal_age(NOW) == pytest.approx(1.5)

    @pytest.mark.parametrize("fields", [{"holder": "i-0"}, {"is_leaving": True}])
    def test_one_before_it_may_still_renew(self, fields):
        """Guards against two runs after two changes of owner in a moment."""
        bounds = LeaseBounds({}, -3.0)
        ownership = make_ownership(1.5, lease_bounds=bounds, **fields)
        ownership._started_at = NOW - 1.0
        assert ownership.last_renewal_age(NOW) == pytest.approx(-1.5)

    @pytest.mark.parametrize("fields", [{"holder": "i-0"}, {"is_leaving": True}])
    def test_older_version_does_not_tell_when_the_one_before_it_renewed(self, fields):
        ownership = make_ownership(1.5, **fields)
        ownership._started_at = NOW - 1.0
        assert ownership.last_renewal_age(NOW) <= 1.5 - MAX_UNCONFIRMED_SECONDS

    def test_own_earlier_ownership_may_have_renewed_until_it_ended(self):
        bounds = LeaseBounds({}, 20.0)
        ownership = make_ownership(1.5, holder="i-1", lease_bounds=bounds)
        ownership._started_at = NOW - 60.0
        whole_leases = MAX_LEASE_AFTER_HEARTBEAT_SECONDS - LEASE_SECONDS
        assert ownership.last_renewal_age(NOW) <= 1.5 - whole_leases

    @pytest.mark.parametrize(("age", "read_age"), [(1.5, 0.2), (9.0, 8.0)])
    def test_time_by_another_clock_is_uncertain(self, age, read_age):
        """Guards against two runs after a clock was stepped by some seconds."""
        bounds = LeaseBounds({}, 20.0)
        ownership = make_ownership(
            age, lease_bounds=bounds, is_leaving=True, read_at=NOW - read_age
        )
        expected = pytest.approx(max(read_age, age - 5.5))
        assert ownership.last_renewal_age(NOW) == expected

    def test_replaced_process_had_ended_whatever_its_clock_showed(self):
        ownership = make_ownership(
            9.0,
            holder="i-0",
            lease_bounds=LeaseBounds({}, 20.0),
            read_at=NOW - 0.1,
        )
        ownership._started_at = NOW - 0.3
        assert ownership.last_renewal_age(NOW) == pytest.approx(0.3)

    @pytest.mark.parametrize(("earlier_age", "expected"), [(20.0, 0.4), (-3.0, -2.9)])
    def test_owner_had_ended_when_the_next_process_there_was_read(
        self, earlier_age, expected
    ):
        ownership = make_ownership(
            1.5, lease_bounds=LeaseBounds({}, earlier_age), read_at=NOW - 0.1
        )
        peer = Peer("other:1", "other-2", 6)
        ownership._views.process_ends.observe("other", peer, NOW - 0.4)
        assert ownership.last_renewal_age(NOW) == pytest.approx(expected)

    def test_owner_without_a_known_one_before_it_tells_the_least_age(self):
        ownership = make_ownership(1.5, epoch=5)
        ownership._begun_at = NOW
        assert ownership.earlier_renewal_age(NOW + 1.0) <= 1.0 - MAX_UNCONFIRMED_SECONDS

    def test_nobody_renewed_before_the_first_owner(self):
        """Guards against a first owner that waits for leases of nobody."""
        views = SimpleNamespace(owner_heartbeat=None, process_ends=ProcessEnds())
        ownership = Ownership(None, views, DecisionLog("i"), "i-1", True, None)
        assert ownership.last_renewal_age(NOW) is None
        ownership._is_first = True
        ownership._begin_ownership(1, NOW)
        policy = make_policy(ownership.last_renewal_age(NOW))
        assert policy.unknown_lease_seconds == 0.0

    def test_skipped_epoch_is_unknown(self):
        assert make_ownership(1.5, epoch=5).last_renewal_age(NOW) is None


class TestPolicy:
    """Test the bounds on leases of upstreams that a new owner can't reach."""

    @pytest.mark.parametrize("renewal_age", [-5.0, -2.95, 0.0, 1.0, 3.0])
    def test_leases_renewed_by_then_have_expired(self, renewal_age):
        policy = make_policy(renewal_age)
        expires_after = LEASE_SECONDS / 0.98 - renewal_age
        bound = min(expires_after, SchedulingPolicy().unknown_lease_seconds)
        assert policy.unknown_lease_seconds >= bound
        assert policy.unlisted_grace_seconds >= bound

    def test_long_outage_leaves_little_to_wait_for(self):
        policy = make_policy(4.0)
        assert policy.unknown_lease_seconds < 1.0
        assert policy.unlisted_grace_seconds == MIN_UNLISTED_GRACE_SECONDS

    def test_unknown_age_gets_the_default(self):
        assert make_policy(None) == SchedulingPolicy()
