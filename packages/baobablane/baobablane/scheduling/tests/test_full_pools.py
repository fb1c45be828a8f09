"""Test what is not tried again in one round of planning."""

import pytest

from baobablane.scheduling._full_pools import FullPools

from .fleet_model import make_step


class TestFullPools:
    """Test a round in which a step of two cores found no room."""

    @pytest.fixture
    def full(self):
        """Return a round with one step that waits."""
        full = FullPools()
        full.record_no_room("pool", make_step(cpu=2000))
        return full

    def test_larger_step_is_not_tried(self, full):
        assert full.has_no_room_for("pool", make_step(cpu=2000))
        assert full.has_no_room_for("pool", make_step(cpu=3000))

    def test_smaller_step_is_tried(self, full):
        assert not full.has_no_room_for("pool", make_step(cpu=1000))

    def test_other_pool_is_tried(self, full):
        assert not full.has_no_room_for("other", make_step(cpu=2000))

    def test_lasting_step_and_filler_are_tried(self, full):
        assert not full.has_no_room_for("pool", make_step(cpu=9000, is_lasting=True))
        assert not full.has_no_room_for("pool", make_step(cpu=9000, is_filler=True))

    @pytest.mark.parametrize(
        "fields", [{"required_label": "b"}, {"most_per_upstream": 1}, {"is_gang": True}]
    )
    def test_step_that_waits_for_more_than_room_says_nothing(self, fields):
        full = FullPools()
        full.record_no_room("pool", make_step(cpu=1000, **fields))
        assert not full.has_no_room_for("pool", make_step(cpu=1000))
