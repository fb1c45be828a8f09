"""Test for how long a new owner waits for upstreams that it can't reach.

Their tasks may run on under leases that an earlier owner renewed. A machine that was
silent to the store only had its work started again 5.2 s after a takeover, up to 2 s
before such a lease had expired. After a long outage, nothing can run for that long.
"""

from types import SimpleNamespace

import pytest
from baobablane.scheduling import SchedulingPolicy

from baobablane_daemon.decision_log import DecisionLog
from baobablane_daemon.jobs import LeaseBounds, OwnerHeartbeat
from baobablane_daemon.owner._ownership import (
    MAX_CLOCK_DIFFERENCE_SECONDS,
    MAX_UNCONFIRMED_SECONDS,
    Ownership,
)
from baobablane_daemon.owner._takeover_policy import (
    MIN_UNLISTED_GRACE_SECONDS,
    make_policy,
)
from baobablane_daemon.owner._upstream_poller import LEASE_SECONDS

NOW = 1_000.0


def make_ownership(heartbeat_age, epoch=6, holder="other-1", **fields):
    """Return an ownership of epoch 7 after a heartbeat of another owner."""
    heartbeat = OwnerHeartbeat(NOW - heartbeat_age, 0, epoch, holder, True, **fields)
    views = SimpleNamespace(owner_heartbeat=heartbeat)
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

    def test_process_that_this_one_replaces_renews_nothing(self):
        ownership = make_ownership(1.5, holder="i-0")
        ownership._started_at = NOW - 0.5
        assert ownership.last_renewal_age(NOW) == pytest.approx(0.5)

    def test_own_earlier_ownership_may_have_renewed_until_it_ended(self):
        ownership = make_ownership(1.5, holder="i-1")
        ownership._started_at = NOW - 60.0
        assert ownership.last_renewal_age(NOW) <= 1.5 - MAX_UNCONFIRMED_SECONDS

    @pytest.mark.parametrize("renewal_age", [-3.0, 0.0, 2.0])
    @pytest.mark.parametrize("is_dated_by_clock", [False, True])
    def test_owner_that_granted_nothing_does_not_count(
        self, renewal_age, is_dated_by_clock
    ):
        """Guards against a chain of owners, each of which adds the time of its own."""
        ownership = make_ownership(
            1.5,
            lease_bounds=LeaseBounds({}, renewal_age),
            is_dated_by_clock=is_dated_by_clock,
        )
        uncertainty = MAX_CLOCK_DIFFERENCE_SECONDS if is_dated_by_clock else 0.0
        expected = renewal_age + 1.5 - uncertainty
        assert ownership.last_renewal_age(NOW) == pytest.approx(expected)

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
