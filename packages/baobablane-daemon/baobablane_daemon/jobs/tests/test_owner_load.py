"""Test how entry instances read the load record."""

from io import BytesIO

import pytest
from baobablane.admission import LoadSummary, encode_load
from baobablane_platform import KeyedRecord

from baobablane_daemon.decision_log import DecisionLog
from baobablane_daemon.jobs import OwnerLoad, Views


@pytest.fixture
def stream():
    """Return the stream to which the views write their log."""
    return BytesIO()


@pytest.fixture
def views(stream):
    """Return views of which nothing is read."""
    return Views(None, DecisionLog("i", stream))


def make_record(version, at_ms=0):
    """Return a load record."""
    return KeyedRecord("load", encode_load(LoadSummary(at_ms, version)))


class TestViews:
    """Test the latest load record of both topics."""

    def test_newest_version_of_both_topics_counts(self, views):
        """Guard against an old record of the topic that is behind."""
        loads = []
        views.on_load = loads.append
        views._on_progress_record(make_record(2))
        views._on_state_record(make_record(3))
        views._on_progress_record(make_record(3))
        views._on_state_record(make_record(1))
        assert [load.summary.version for load in loads] == [2, 3]
        assert views.owner_load.summary.version == 3

    @pytest.mark.parametrize("value", [b"{", b'{"at_ms":"x"}', b"\xff", b"[]"])
    def test_malformed_record_is_skipped_with_one_line(self, views, stream, value):
        """Guard against a view that ends, or a job state, from a malformed record."""
        views._on_progress_record(make_record(2))
        views._on_state_record(KeyedRecord("load", value))
        assert views.owner_load.summary.version == 2
        assert stream.getvalue().count(b"record-skipped") == 1


class TestAge:
    """Test the age by which a record is too old to reject by it."""

    @pytest.mark.parametrize(
        ("at_ms", "age"),
        [
            pytest.param(10_000, 0.5, id="by its arrival"),
            pytest.param(7_000, 3.0, id="by its timestamp, over a slow link"),
            pytest.param(11_000, 0.5, id="clock of the owner ahead"),
        ],
    )
    def test_larger_age_counts(self, at_ms, age):
        """Guard against rejections by a record that arrived late."""
        load = OwnerLoad(LoadSummary(at_ms, 1), 50.0)
        assert load.age_seconds(50.5, 10_000) == age
