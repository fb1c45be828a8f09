"""Divide a team's upper limit among the slots that members own."""

import zlib
from collections.abc import Collection, Mapping

from ..membership import SLOT_COUNT

# Coprime to SLOT_COUNT, so that consecutive units are placed on distant slots.
UNIT_STRIDE = 149


def base_units(team: str, limit: int, slots: Collection[int]) -> int:
    """Return how many units of a team's limit belong to the given slots.

    Raise ValueError if the limit is negative.
    """
    if limit < 0:
        raise ValueError(f"limit of {team} must not be negative, not {limit}")
    units_per_slot, remainder = divmod(limit, SLOT_COUNT)
    start = zlib.crc32(team.encode()) % SLOT_COUNT
    from_remainder = sum(
        (start + unit * UNIT_STRIDE) % SLOT_COUNT in slots for unit in range(remainder)
    )
    return units_per_slot * len(slots) + from_remainder


def units_per_team(
    limits_by_team: Mapping[str, int], slots: Collection[int]
) -> dict[str, int]:
    """Return how many units of each team's limit belong to the given slots."""
    return {
        team: base_units(team, limit, slots) for team, limit in limits_by_team.items()
    }
