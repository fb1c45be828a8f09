"""Test claims of a process whose earlier claim got no response.

It counted its leases from that claim, which was half a minute old and could no longer
be carried out. So it granted leases of no length.
"""

from types import SimpleNamespace

import pytest
from baobablane.scheduling import LeaseTracker, Scheduler, SchedulingPolicy
from baobablane_platform import StoreUnknownOutcomeError

from baobablane_daemon.decision_log import DecisionLog
from baobablane_daemon.jobs import OwnerHeartbeat, boot_seconds
from baobablane_daemon.jobs._process_ends import ProcessEnds
from baobablane_daemon.owner import Ownership
from baobablane_daemon.owner._lease_record import (
    LEASE_SECONDS,
    MAX_LEASE_AFTER_HEARTBEAT_SECONDS,
    LeaseRecord,
)
from baobablane_daemon.owner._upstream_poller import UpstreamPoller

from ...jobs.tests.virtual_time import run_in_virtual_time
from .test_stale_owner import RecordingClient

NOW = 1_000.0
END = 50


class Store:
    """Answer no claim until it is told to."""

    def __init__(self):
        """Answer nothing."""
        self.answers = False

    async def append(self, *args, **kwargs):
        """Store a claim, or give no response."""
        if not self.answers:
            raise StoreUnknownOutcomeError("no response")


async def claim_again(seconds, next_offset):
    """Claim without a response, and again after a time; return the ownership."""
    heartbeat = OwnerHeartbeat(NOW, 0, 6, "other-1", True)
    tail = SimpleNamespace(next_offset=END)
    views = SimpleNamespace(
        owner_heartbeat=heartbeat,
        process_ends=ProcessEnds(),
        follows_progress=True,
        progress_tail=tail,
    )
    store = Store()
    ownership = Ownership(store, views, DecisionLog("i"), "i-1", True, None)
    await ownership._claim(NOW)
    assert ownership.epoch is None
    store.answers, tail.next_offset = True, next_offset
    await ownership._claim(NOW + seconds)
    assert ownership.epoch == 7
    return ownership


class TestClaimTimes:
    """Test from when on the leases of a new owner count."""

    @pytest.mark.parametrize("seconds", [0.5, 5.0, 30.0])
    async def test_claim_that_can_not_be_stored_any_more_is_forgotten(self, seconds):
        """Guards against leases of 0 s after a claim without a response.

        Others were started beside the runs of the owner before.
        """
        ownership = await claim_again(seconds, END + 1)
        assert ownership.claimed_at == NOW + seconds

    @pytest.mark.parametrize("seconds", [0.5, 5.0])
    async def test_claim_that_may_be_the_stored_one_counts(self, seconds):
        """Guards against leases that last for longer than the next owner expects."""
        ownership = await claim_again(seconds, END)
        assert ownership.claimed_at == NOW


class TestOldClaims:
    """Test an owner that may grant no lease until its first heartbeat is stored."""

    def test_no_lease_is_granted_before_that(self):
        """Guards against an own lease that is over at once."""

        async def scenario():
            scheduler = Scheduler(SchedulingPolicy())
            claimed_at = boot_seconds() - MAX_LEASE_AFTER_HEARTBEAT_SECONDS
            record = LeaseRecord(scheduler, 1, {}, lambda now: 0.0, claimed_at)
            lease = LeaseTracker(boot_seconds(), 1)
            upstream = SimpleNamespace(
                entry=SimpleNamespace(address="10.0.0.1:80"),
                runs={},
                lease=lease,
                is_reachable=True,
                applied_end=0,
                recorded_end=0,
            )
            scheduler.state.upstreams["u"] = upstream
            poller = UpstreamPoller(
                "u",
                1,
                scheduler,
                RecordingClient(),
                DecisionLog("entry-1"),
                lambda: None,
                lambda seconds: True,
                record,
            )
            poller._apply = lambda report, requested_at: None
            assert poller.start_deadline_ms() is None
            assert not await record.wait_until_grantable("u")
            assert record.is_wanted.is_set()
            await poller._poll()
            assert not lease.has_granted
            record.make_bounds(boot_seconds())
            record.note_stored()
            await poller._poll()
            assert lease.has_granted
            assert poller.start_deadline_ms() >= LEASE_SECONDS * 1000

        run_in_virtual_time(scenario())
