"""Test which entry instances stand for owner."""

from dataclasses import dataclass

import pytest
from baobablane.deployment import PlatformLimits
from baobablane_platform import ProcessSettings

from baobablane_daemon.jobs import OwnerHeartbeat
from baobablane_daemon.owner._candidacy import (
    CLAIM_SPREAD_SECONDS,
    HEARTBEAT_TIMEOUT_SECONDS,
    SMALL_HEARTBEAT_TIMEOUT_SECONDS,
    Candidacy,
    is_large,
)

STARTED_AT = 100.0


@dataclass
class View:
    """Hold what an instance knows of the owner."""

    heartbeat: OwnerHeartbeat | None = None
    age: float = 0.1

    def receive_heartbeat(self, at, is_large=True, is_leaving=False):
        """Let an owner show itself."""
        self.heartbeat = OwnerHeartbeat(
            at, round(at * 1000), 1, "other", is_large, is_leaving
        )


@pytest.fixture
def view():
    """Return a view that is confirmed."""
    return View()


def make_candidacy(view, is_preferred=True):
    """Return the candidacy of an instance that has just started."""
    return Candidacy(
        "entry-1", is_preferred, lambda: view.heartbeat, lambda: view.age, STARTED_AT
    )


class TestLarge:
    """Test when a large instance stands."""

    def test_first_start_of_all(self, view):
        assert make_candidacy(view).should_claim(STARTED_AT + CLAIM_SPREAD_SECONDS)

    def test_owner_is_heard(self, view):
        candidacy = make_candidacy(view)
        for number in range(1, 40):
            now = STARTED_AT + number * 0.4
            view.receive_heartbeat(now)
            assert not candidacy.should_claim(now + 0.39)

    def test_owner_is_silent(self, view):
        candidacy = make_candidacy(view)
        view.receive_heartbeat(110.0)
        assert not candidacy.should_claim(110.0 + HEARTBEAT_TIMEOUT_SECONDS - 0.01)
        assert candidacy.should_claim(
            110.0 + HEARTBEAT_TIMEOUT_SECONDS + CLAIM_SPREAD_SECONDS
        )

    def test_owner_leaves(self, view):
        candidacy = make_candidacy(view)
        view.receive_heartbeat(110.0, is_leaving=True)
        assert candidacy.should_claim(110.0 + CLAIM_SPREAD_SECONDS)

    def test_owner_was_gone_before_the_start(self, view):
        view.receive_heartbeat(STARTED_AT - 2.2)
        assert make_candidacy(view).should_claim(STARTED_AT + 0.1)

    def test_time_without_a_view_is_no_silence(self, view):
        candidacy = make_candidacy(view)
        view.receive_heartbeat(110.0)
        assert not candidacy.should_claim(110.1)
        view.age = 5.0
        assert not candidacy.should_claim(118.0)
        view.age = 0.1
        assert not candidacy.should_claim(118.4)
        assert candidacy.should_claim(
            118.0 + HEARTBEAT_TIMEOUT_SECONDS + CLAIM_SPREAD_SECONDS
        )


class TestSmall:
    """Test when a small instance stands."""

    def test_waits_for_large_ones_at_the_start(self, view):
        candidacy = make_candidacy(view, is_preferred=False)
        assert not candidacy.should_claim(
            STARTED_AT + SMALL_HEARTBEAT_TIMEOUT_SECONDS - 0.1
        )
        assert candidacy.should_claim(
            STARTED_AT + SMALL_HEARTBEAT_TIMEOUT_SECONDS + CLAIM_SPREAD_SECONDS
        )

    def test_waits_for_large_ones_when_the_owner_falls_silent(self, view):
        candidacy = make_candidacy(view, is_preferred=False)
        view.receive_heartbeat(110.0)
        assert not candidacy.should_claim(110.0 + SMALL_HEARTBEAT_TIMEOUT_SECONDS - 0.1)
        assert candidacy.should_claim(
            110.0 + SMALL_HEARTBEAT_TIMEOUT_SECONDS + CLAIM_SPREAD_SECONDS
        )

    def test_replaces_a_small_owner_as_soon_as_a_large_one_would(self, view):
        candidacy = make_candidacy(view, is_preferred=False)
        view.receive_heartbeat(110.0, is_large=False)
        assert candidacy.should_claim(
            110.0 + HEARTBEAT_TIMEOUT_SECONDS + CLAIM_SPREAD_SECONDS
        )


class TestIsLarge:
    """Test which instances can carry the owner."""

    @pytest.mark.parametrize(
        ("cores", "link_mbit", "expected"),
        [
            (1.074, 1000.0, True),
            (2.15, 200.0, True),
            (0.516, 10.0, False),
            (2.15, 10.0, False),
        ],
    )
    def test_needs_processor_and_link(self, cores, link_mbit, expected):
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
