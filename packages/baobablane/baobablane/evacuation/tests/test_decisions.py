"""Test the decisions on evacuated zones that need no fleet."""

import math

import pytest

from baobablane.evacuation import ZoneEvent, ZoneWatch, start_window_seconds


class TestStartWindow:
    """Test the time that a start has."""

    @pytest.mark.parametrize(
        ("zone", "age", "limit", "expected"),
        [
            ("a", 0.0, None, 0.0),
            ("b", 1.0, 5.0, 4.0),
            ("b", 4.6, 5.0, 0.0),
            ("b", math.inf, None, math.inf),
        ],
    )
    def test_window(self, zone, age, limit, expected):
        """Guard against starts in a closed zone, or by a view that is too old."""
        assert start_window_seconds(zone, {"a"}, age, limit) == expected


class TestZoneWatch:
    """Test the events that operators rely on."""

    def test_empty_and_unknown_zones_are_reported_once(self):
        """Guard against repeated lines, and a typing error that looks empty."""
        watch = ZoneWatch()
        reported = [watch.observe({"a": n, "x": 0}, {"a"}) for n in (2, 0, 0, 1, 0)]
        empty = [("a", ZoneEvent.EMPTY)]
        # The zone is empty again after a late start.
        assert reported == [[("x", ZoneEvent.UNKNOWN)], empty, [], [], empty]
