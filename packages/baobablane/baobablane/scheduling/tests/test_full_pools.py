"""Test which steps are skipped within one planning round."""

import pytest

from baobablane.scheduling._full_pools import FullPools

from .fleet_model import ModelFleet, make_step


def make_upstreams(cpu):
    """Return the upstreams of a fleet, each with this much room."""
    fleet = ModelFleet(cpu=cpu)
    fleet.renew_all()
    return list(fleet.scheduler.state.upstreams.values())


class TestFullPools:
    """Test a round in which a step of two cores found no room."""

    @pytest.fixture
    def full(self):
        """Return the full pools of a round in which one step found no room."""
        full = FullPools()
        full.record_unplaced("pool", make_step(cpu=2000), make_upstreams(1999), {})
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

    def test_gang_is_tried(self, full):
        assert not full.has_no_room_for("pool", make_step(cpu=9000, is_gang=True))


@pytest.mark.parametrize(
    "fields",
    [
        {},
        {"required_label": "b"},
        {"most_per_upstream": 1},
        {"is_gang": True},
        {"is_lasting": True},
        {"is_filler": True},
    ],
)
class TestOtherConstraints:
    """Test a step that was not placed although upstreams have room for it."""

    def test_step_does_not_mark_the_pool_full(self, fields):
        """Guards against steps that wait for what another one lacks."""
        full = FullPools()
        step = make_step(cpu=1000, **fields)
        full.record_unplaced("pool", step, make_upstreams(1000), {})
        assert not full.has_no_room_for("pool", make_step(cpu=1000))
