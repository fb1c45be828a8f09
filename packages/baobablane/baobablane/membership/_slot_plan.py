"""Plan which slots a member claims and releases."""

from collections.abc import Collection
from dataclasses import dataclass

# Number of slots that the members divide among themselves. Each slot carries a part of
# every team's limit; an upstream's slots for concurrent requests are unrelated.
SLOT_COUNT = 240


@dataclass(frozen=True, slots=True)
class SlotPlan:
    """List the slots to claim and the slots to release."""

    claim: tuple[int, ...] = ()
    release: tuple[int, ...] = ()


def plan_slots(
    owned: Collection[int], free: Collection[int], active_members: int
) -> SlotPlan:
    """Return the changes that bring a member to an equal share of all slots.

    Raise ValueError if `active_members` is below 1.
    """
    if active_members < 1:
        raise ValueError(f"active_members must be at least 1, not {active_members}")
    lower = SLOT_COUNT // active_members
    upper = -(-SLOT_COUNT // active_members)
    if len(owned) > upper:
        return SlotPlan(release=tuple(sorted(owned)[upper:]))
    # A member below the lower bound claims only up to it, which leaves slots to others
    # below it. Only then does it claim one more, if the division has a remainder.
    wanted = max(0, lower - len(owned)) or min(1, upper - len(owned))
    return SlotPlan(claim=tuple(sorted(free)[:wanted]))
