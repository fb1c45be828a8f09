"""Test when entry instances claim the ownership."""

from dataclasses import dataclass

import pytest
from baobablane.deployment import PlatformLimits
from baobablane.succession import RANK_DELAY_SECONDS, Suspicion
from baobablane_platform import ProcessSettings

from baobablane_daemon.jobs import OwnerHeartbeat, make_holder
from baobablane_daemon.owner._candidacy import (
    HEARTBEAT_TIMEOUT_SECONDS,
    MAX_CLAIM_DELAY_SECONDS,
    SMALL_HEARTBEAT_TIMEOUT_SECONDS,
    Candidacy,
    is_large,
)

STARTED_AT = 100.0


@dataclass
class View:
    """Stand in for an instance's view of the owner."""

    heartbeat: OwnerHeartbeat | None = None
    age: float = 0.1

    def receive_heartbeat(self, at, is_large=True, is_leaving=False, holder="other"):
        """Set the owner's latest heartbeat, sent by a process of `holder`."""
        self.heartbeat = OwnerHeartbeat(
            at, round(at * 1000), 1, make_holder(holder, 1), is_large, is_leaving
        )


@pytest.fixture
def view():
    """Return a fresh view without a heartbeat."""
    return View()


def make_candidacy(view, is_large=True):
    """Return the candidacy of an instance that has just started."""
    holder = make_holder("entry-1", 2)
    return Candidacy(
        holder, is_large, lambda: view.heartbeat, lambda: view.age, STARTED_AT
    )


class TestLarge:
    """Test when a large instance claims."""

    def test_claims_soon_after_the_first_start(self, view):
        assert make_candidacy(view).should_claim(STARTED_AT + MAX_CLAIM_DELAY_SECONDS)

    def test_no_claim_while_heartbeats_arrive(self, view):
        candidacy = make_candidacy(view)
        for number in range(1, 40):
            now = STARTED_AT + number * 0.4
            view.receive_heartbeat(now)
            assert not candidacy.should_claim(now + 0.39)

    def test_claims_after_the_heartbeat_timeout(self, view):
        candidacy = make_candidacy(view)
        view.receive_heartbeat(110.0)
        assert not candidacy.should_claim(110.0 + HEARTBEAT_TIMEOUT_SECONDS - 0.01)
        assert candidacy.should_claim(
            110.0 + HEARTBEAT_TIMEOUT_SECONDS + MAX_CLAIM_DELAY_SECONDS
        )

    def test_claims_soon_after_the_owner_leaves(self, view):
        candidacy = make_candidacy(view)
        view.receive_heartbeat(110.0, is_leaving=True)
        assert candidacy.should_claim(110.0 + MAX_CLAIM_DELAY_SECONDS)

    def test_claims_if_the_owner_was_lost_before_the_start(self, view):
        view.receive_heartbeat(STARTED_AT - 2.2)
        assert make_candidacy(view).should_claim(STARTED_AT + 0.1)

    def test_time_with_a_stale_view_does_not_count(self, view):
        candidacy = make_candidacy(view)
        view.receive_heartbeat(110.0)
        assert not candidacy.should_claim(110.1)
        view.age = 5.0
        assert not candidacy.should_claim(118.0)
        view.age = 0.1
        assert not candidacy.should_claim(118.4)
        assert candidacy.should_claim(
            118.0 + HEARTBEAT_TIMEOUT_SECONDS + MAX_CLAIM_DELAY_SECONDS
        )


class TestSmall:
    """Test when a small instance claims."""

    def test_waits_for_large_instances_at_the_start(self, view):
        candidacy = make_candidacy(view, is_large=False)
        assert not candidacy.should_claim(
            STARTED_AT + SMALL_HEARTBEAT_TIMEOUT_SECONDS - 0.1
        )
        assert candidacy.should_claim(
            STARTED_AT + SMALL_HEARTBEAT_TIMEOUT_SECONDS + MAX_CLAIM_DELAY_SECONDS
        )

    def test_waits_for_large_instances_after_a_lost_owner(self, view):
        candidacy = make_candidacy(view, is_large=False)
        view.receive_heartbeat(110.0)
        assert not candidacy.should_claim(110.0 + SMALL_HEARTBEAT_TIMEOUT_SECONDS - 0.1)
        assert candidacy.should_claim(
            110.0 + SMALL_HEARTBEAT_TIMEOUT_SECONDS + MAX_CLAIM_DELAY_SECONDS
        )

    def test_replaces_a_small_owner_without_an_extra_wait(self, view):
        candidacy = make_candidacy(view, is_large=False)
        view.receive_heartbeat(110.0, is_large=False)
        assert candidacy.should_claim(
            110.0 + HEARTBEAT_TIMEOUT_SECONDS + MAX_CLAIM_DELAY_SECONDS
        )


class TestSuspicion:
    """Test an instance that suspects the owner to be lost."""

    def make(self, view, line, suspicions):
        """Return a candidacy; `suspicions` is emptied when the suspicion ends."""
        return Candidacy(
            make_holder("entry-1", 2),
            True,
            lambda: view.heartbeat,
            lambda: view.age,
            STARTED_AT,
            lambda: line,
            lambda now: suspicions[0] if suspicions else None,
        )

    def test_first_successor_claims_at_once(self, view):
        """Guards against 1.5 s without an owner whenever one is lost."""
        view.receive_heartbeat(110.0)
        candidacy = self.make(view, ("entry-1", "entry-2"), [Suspicion.REJECTED])
        assert candidacy.should_claim(110.1)

    def test_later_successors_give_earlier_ones_time(self, view):
        """Guards against claims that stand in each other's line."""
        view.receive_heartbeat(110.0)
        line = ("entry-3", "entry-2", "entry-1")
        candidacy = self.make(view, line, [Suspicion.DISCONNECTED])
        assert not candidacy.should_claim(110.1)
        assert not candidacy.should_claim(110.1 + 2 * RANK_DELAY_SECONDS - 0.01)
        assert candidacy.should_claim(110.1 + 2 * RANK_DELAY_SECONDS + 0.01)

    def test_suspicion_that_ended_begins_anew(self, view):
        view.receive_heartbeat(110.0)
        suspicions = [Suspicion.SILENT]
        candidacy = self.make(view, ("entry-2", "entry-1"), suspicions)
        assert not candidacy.should_claim(110.7)
        suspicions.clear()
        assert not candidacy.should_claim(110.75)
        suspicions.append(Suspicion.SILENT)
        assert not candidacy.should_claim(110.85)
        assert candidacy.should_claim(110.85 + RANK_DELAY_SECONDS + 0.01)

    def test_stale_view_allows_no_claim(self, view):
        """Guards against claims sent to a store that is away for all."""
        view.receive_heartbeat(110.0)
        view.age = 2.0
        candidacy = self.make(view, ("entry-1",), [Suspicion.CUT_OFF])
        assert not candidacy.should_claim(112.0)

    def test_successors_of_an_owner_that_leaves_go_by_the_line(self, view):
        view.receive_heartbeat(110.0, is_leaving=True)
        line = ("entry-2", "entry-1")
        candidacy = self.make(view, line, [])
        assert not candidacy.should_claim(110.0 + RANK_DELAY_SECONDS - 0.01)
        assert candidacy.should_claim(110.0 + RANK_DELAY_SECONDS + 0.01)


class TestLatestOwner:
    """Test the instance whose process was the latest owner.

    After a restart of everything or a long outage of the store, nobody placed tasks
    until the heartbeats of an owner that could not exist any more had timed out.
    """

    @pytest.mark.parametrize("is_large", [True, False])
    def test_restarted_owner_claims_at_once(self, view, is_large):
        view.receive_heartbeat(STARTED_AT - 0.2, holder="entry-1")
        candidacy = make_candidacy(view, is_large)
        assert candidacy.should_claim(STARTED_AT + 0.01)

    def test_owner_claims_at_once_after_an_outage_of_the_store(self, view):
        candidacy = make_candidacy(view)
        assert candidacy.should_claim(STARTED_AT + MAX_CLAIM_DELAY_SECONDS)
        view.receive_heartbeat(110.0, holder="entry-1")
        view.age = 4.0
        assert not candidacy.should_claim(114.0)
        view.age = 0.1
        assert candidacy.should_claim(114.1)

    def test_instance_with_a_similar_name_waits(self, view):
        view.receive_heartbeat(STARTED_AT - 0.2, holder="entry-11")
        assert not make_candidacy(view).should_claim(STARTED_AT + 0.01)


class TestIsLarge:
    """Test which instances have the resources to be the owner."""

    @pytest.mark.parametrize(
        ("cores", "link_mbit", "expected"),
        [
            (1.074, 1000.0, True),
            (2.15, 200.0, True),
            (0.516, 10.0, False),
            (2.15, 10.0, False),
        ],
    )
    def test_needs_cores_and_link_rate(self, cores, link_mbit, expected):
        settings = ProcessSettings(
            "i",
            "z",
            "",
            "",
            "",
            "",
            "",
            PlatformLimits(),
            cores=cores,
            link_mbit=link_mbit,
        )
        assert is_large(settings) is expected
