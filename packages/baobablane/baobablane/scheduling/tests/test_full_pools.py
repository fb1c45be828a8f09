"""Test which steps are skipped within one planning round."""

import pytest

from baobablane.scheduling._full_pools import FullPools

from .fleet_model import make_step


class TestFullPools:
    """Test a round in which a step of two cores found no room."""

    @pytest.fixture
    def full(self):
        """Return the full pools of a round in which one step found no room."""
        full = FullPools()
        full.record_no_room("pool", make_step(cpu=2000))
        return full

    def test_step_with_equal_or_larger_needs_is_skipped(self, full):
        assert full.has_no_room_for("pool", make_step(cpu=2000))
        assert full.has_no_room_for("pool", make_step(cpu=3000))

    def test_smaller_step_is_tried(self, full):
        assert not full.has_no_room_for("pool", make_step(cpu=1000))

    def test_other_pool_is_tried(self, full):
        assert not full.has_no_room_for("other", make_step(cpu=2000))

    def test_long_running_step_and_filler_are_tried(self, full):
        assert not full.has_no_room_for("pool", make_step(cpu=9000, is_lasting=True))
        assert not full.has_no_room_for("pool", make_step(cpu=9000, is_filler=True))

    @pytest.mark.parametrize(
        "fields", [{"required_label": "b"}, {"most_per_upstream": 1}, {"is_gang": True}]
    )
    def test_step_with_other_constraints_does_not_mark_the_pool_full(self, fields):
        full = FullPools()
        full.record_no_room("pool", make_step(cpu=1000, **fields))
        assert not full.has_no_room_for("pool", make_step(cpu=1000))
