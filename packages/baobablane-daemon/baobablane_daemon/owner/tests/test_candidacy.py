"""Test which entry instances stand for owner."""

from dataclasses import dataclass

import pytest
from baobablane.deployment import PlatformLimits
from baobablane_platform import ProcessSettings

from baobablane_daemon.jobs import OwnerSign
from baobablane_daemon.owner._candidacy import (
    SILENT_SECONDS,
    SMALL_SILENT_SECONDS,
    SPREAD_SECONDS,
    Candidacy,
    is_large,
)

JUST_STARTED = 100.0


@dataclass
class View:
    """Hold what an instance knows of the owner."""

    sign: OwnerSign | None = None
    age: float = 0.1

    def show(self, at, is_large=True, is_leaving=False):
        """Let an owner show itself."""
        self.sign = OwnerSign(at, round(at * 1000), 1, "other", is_large, is_leaving)


@pytest.fixture
def view():
    """Return a view that is confirmed."""
    return View()


def make_candidacy(view, is_preferred=True):
    """Return the candidacy of an instance that has just started."""
    return Candidacy(
        "entry-1", is_preferred, lambda: view.sign, lambda: view.age, JUST_STARTED
    )


class TestLarge:
    """Test when a large instance stands."""

    def test_first_start_of_all(self, view):
        assert make_candidacy(view).stands(JUST_STARTED + SPREAD_SECONDS)

    def test_owner_is_heard(self, view):
        candidacy = make_candidacy(view)
        for step in range(1, 40):
            now = JUST_STARTED + step * 0.4
            view.show(now)
            assert not candidacy.stands(now + 0.39)

    def test_owner_is_silent(self, view):
        candidacy = make_candidacy(view)
        view.show(110.0)
        assert not candidacy.stands(110.0 + SILENT_SECONDS - 0.01)
        assert candidacy.stands(110.0 + SILENT_SECONDS + SPREAD_SECONDS)

    def test_owner_leaves(self, view):
        candidacy = make_candidacy(view)
        view.show(110.0, is_leaving=True)
        assert candidacy.stands(110.0 + SPREAD_SECONDS)

    def test_owner_was_gone_before_the_start(self, view):
        view.show(JUST_STARTED - 2.2)
        assert make_candidacy(view).stands(JUST_STARTED + 0.1)

    def test_time_without_a_view_is_no_silence(self, view):
        candidacy = make_candidacy(view)
        view.show(110.0)
        assert not candidacy.stands(110.1)
        view.age = 5.0
        assert not candidacy.stands(118.0)
        view.age = 0.1
        assert not candidacy.stands(118.4)
        assert candidacy.stands(118.0 + SILENT_SECONDS + SPREAD_SECONDS)


class TestSmall:
    """Test when a small instance stands."""

    def test_waits_for_large_ones_at_the_start(self, view):
        candidacy = make_candidacy(view, is_preferred=False)
        assert not candidacy.stands(JUST_STARTED + SMALL_SILENT_SECONDS - 0.1)
        assert candidacy.stands(JUST_STARTED + SMALL_SILENT_SECONDS + SPREAD_SECONDS)

    def test_waits_for_large_ones_when_the_owner_falls_silent(self, view):
        candidacy = make_candidacy(view, is_preferred=False)
        view.show(110.0)
        assert not candidacy.stands(110.0 + SMALL_SILENT_SECONDS - 0.1)
        assert candidacy.stands(110.0 + SMALL_SILENT_SECONDS + SPREAD_SECONDS)

    def test_replaces_a_small_owner_as_soon_as_a_large_one_would(self, view):
        candidacy = make_candidacy(view, is_preferred=False)
        view.show(110.0, is_large=False)
        assert candidacy.stands(110.0 + SILENT_SECONDS + SPREAD_SECONDS)


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
