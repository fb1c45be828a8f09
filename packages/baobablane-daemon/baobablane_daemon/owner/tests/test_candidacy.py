"""Test which entry instances stand for owner."""

from dataclasses import dataclass

import pytest
from baobablane.deployment import PlatformLimits
from baobablane_platform import ProcessSettings

from baobablane_daemon.owner._candidacy import OWNERLESS_SECONDS, Candidacy, is_large


@dataclass
class View:
    """Hold what an instance knows of the owner."""

    heard_at: float = 0.0
    age: float = 0.1


@pytest.fixture
def view():
    """Return a view that is confirmed."""
    return View()


def make_candidacy(view, is_preferred):
    """Return a candidacy that begins at 0 s."""
    return Candidacy(is_preferred, lambda: view.heard_at, lambda: view.age, 0.0)


class TestCandidacy:
    """Test when an instance stands."""

    def test_large_instance_always_stands(self, view):
        assert make_candidacy(view, True).stands(0.0)

    def test_small_instance_waits_for_large_ones_at_the_start(self, view):
        candidacy = make_candidacy(view, False)
        assert not candidacy.stands(OWNERLESS_SECONDS - 0.1)
        assert candidacy.stands(OWNERLESS_SECONDS + 0.1)

    def test_small_instance_stays_out_while_an_owner_records(self, view):
        candidacy = make_candidacy(view, False)
        for second in range(1, 20):
            view.heard_at = float(second)
            assert not candidacy.stands(second + 0.9)

    def test_small_instance_stands_once_the_owner_is_silent(self, view):
        candidacy = make_candidacy(view, False)
        view.heard_at = 10.0
        assert candidacy.stands(10.0 + OWNERLESS_SECONDS + 0.1)

    def test_time_without_a_view_does_not_count(self, view):
        candidacy = make_candidacy(view, False)
        view.age = 5.0
        assert not candidacy.stands(8.0)
        view.age = 0.1
        assert not candidacy.stands(8.4)
        assert candidacy.stands(8.0 + OWNERLESS_SECONDS + 0.1)


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
