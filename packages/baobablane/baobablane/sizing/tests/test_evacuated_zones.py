"""Test the sizes of pools while zones are evacuated."""

from dataclasses import replace

import pytest

from baobablane.sizing import PoolTarget, plan_moves

from .test_moves import make_instance


@pytest.mark.parametrize(
    ("evacuated", "expected"),
    [("a", {("m5", "pool"), ("m0", "standby")}), ("ab", set())],
)
def test_cores_of_a_zone_are_replaced_from_other_zones(evacuated, expected):
    """Guard against a pool that stays short, and a withdrawal that finds it empty."""
    instances = [make_instance(n, "pool") for n in range(4)]
    instances += [make_instance(n, "standby", upstream="") for n in (4, 5, 6)]
    placed = [replace(i, zone=z) for i, z in zip(instances, "aabbaba", strict=True)]
    targets = {"pool": PoolTarget(96.0, 96.0)}
    moves = plan_moves(targets, placed, {"u0"}, "standby", (), (), (), evacuated)
    assert {(move.instance, move.pool) for move in moves} == expected
