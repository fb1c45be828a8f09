"""Test how long a stopping process keeps the ownership."""

import asyncio

import pytest

from baobablane_daemon.jobs import boot_seconds
from baobablane_daemon.owner import keep_until_succeeded
from baobablane_daemon.owner._planned_stop import (
    CHECK_INTERVAL_SECONDS,
    SETTLE_SECONDS,
)

from ...jobs.tests.virtual_time import run_in_virtual_time

MAX_SECONDS = 2.0
MAX_OWNER_SECONDS = 5.0


class OwnershipModel:
    """Own, or not."""

    def __init__(self, epoch):
        """Own under an epoch, unless it is None."""
        self.epoch = epoch
        self.may_claim = True

    def allow_claims(self, is_allowed):
        """Note whether claims are sent."""
        self.may_claim = is_allowed


def seconds_kept(ownership, has_successor, change=lambda: None, change_after=0.0):
    """Return for how long an ownership is kept while something changes."""

    async def scenario():
        asyncio.get_running_loop().call_later(change_after, change)
        began_at = boot_seconds()
        await keep_until_succeeded(
            ownership, has_successor, MAX_SECONDS, MAX_OWNER_SECONDS
        )
        return boot_seconds() - began_at

    return run_in_virtual_time(scenario())


class TestOwner:
    """Test a stopping process that owns."""

    def test_successor_gets_the_ownership_soon(self):
        """Guards against a planned stop that delays the next owner."""
        seconds = seconds_kept(OwnershipModel(1), lambda: True)
        assert seconds <= SETTLE_SECONDS + CHECK_INTERVAL_SECONDS

    def test_ownership_is_kept_until_a_successor_is_back(self):
        """Guards against a restart of all in which nobody places."""
        peers = set()
        seconds = seconds_kept(
            OwnershipModel(1),
            lambda: bool(peers),
            lambda: peers.add("entry-1"),
            1.0,
        )
        assert seconds == pytest.approx(1.0, abs=2 * CHECK_INTERVAL_SECONDS)

    def test_ownership_is_kept_until_one_that_stopped_as_well_is_back(self):
        """Guards against seconds in which nobody starts again what is lost.

        All were stopped at the same moment. The owner left after 2 s, and the first
        one was back after 4 s.
        """
        peers = set()
        seconds = seconds_kept(
            OwnershipModel(1),
            lambda: bool(peers),
            lambda: peers.add("entry-1"),
            4.0,
        )
        assert seconds == pytest.approx(4.0, abs=2 * CHECK_INTERVAL_SECONDS)

    def test_others_that_stop_at_the_same_moment_are_no_successors(self):
        """Guards against an owner that leaves before the others say that they stop."""
        peers = {"entry-1"}
        seconds = seconds_kept(OwnershipModel(1), lambda: bool(peers), peers.clear, 0.1)
        assert seconds > 1.0

    def test_process_stops_in_time(self):
        """Guards against a process that is killed since it doesn't stop."""
        seconds = seconds_kept(OwnershipModel(1), lambda: False)
        assert seconds <= MAX_OWNER_SECONDS + CHECK_INTERVAL_SECONDS


class TestOthers:
    """Test a stopping process that doesn't own."""

    def test_it_leaves_the_ownership_to_others(self):
        """Guards against a process that claims while it stops."""
        ownership = OwnershipModel(None)
        seconds_kept(ownership, lambda: True)
        assert not ownership.may_claim

    def test_it_stops_sooner_than_the_owner(self):
        """Guards against an owner that waits for others that wait themselves."""
        seconds = seconds_kept(OwnershipModel(None), lambda: False)
        assert seconds <= MAX_SECONDS + CHECK_INTERVAL_SECONDS

    def test_last_one_claims(self):
        """Guards against an owner that left in favour of one that stops as well."""
        ownership = OwnershipModel(None)
        seen = []
        seconds_kept(
            ownership, lambda: False, lambda: seen.append(ownership.may_claim), 1.0
        )
        assert seen == [True]
        # A claim is answered before the process ends.
        assert not ownership.may_claim

    def test_claim_on_its_way_is_kept(self):
        """Guards against a claim that is stored and followed by no heartbeat.

        It came from a process that was stopped before the answer, and others waited for
        its heartbeats to time out.
        """
        ownership = OwnershipModel(None)

        def succeed():
            ownership.epoch = 2

        seconds = seconds_kept(ownership, lambda: False, succeed, 0.03)
        assert seconds >= MAX_SECONDS
