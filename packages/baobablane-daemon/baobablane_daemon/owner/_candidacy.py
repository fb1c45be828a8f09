"""Decide whether an entry instance stands for owner.

Each change of owner costs time and knowledge, so the others stand only once an owner
has left or fallen silent. Of those that stand at once, one claim succeeds.

Load pattern: deployments mix a few large instances with many of half a core and a
narrow link, and the owner of a full fleet needs more than those have. A small one
stands only after no owner was heard for longer than a large one takes to stand.
"""

from collections.abc import Callable
from zlib import crc32

from baobablane_platform import ProcessSettings

from ..jobs import OwnerSign

# A start costs the owner about 2 ms of a core, and 500 a second are the most foreseen.
OWNER_CORES = 1.0
# Records, holds and starts at that rate take some 20 Mbit/s.
OWNER_LINK_MBIT = 50.0
# An owner shows itself every 0.4 s, every 0.8 s through a store of 90 times the usual
# time; twice that is silence.
SILENT_SECONDS = 1.5
# A large instance has stood and shown itself by then.
SMALL_SILENT_SECONDS = 3.0
# Instances stand one after the other within this, so that most hear of the first one's
# claim, which takes some 30 ms, before they send their own.
SPREAD_SECONDS = 0.2
# A view that is older than this tells nothing of the owner.
STALE_SECONDS = 1.3


def is_large(settings: ProcessSettings) -> bool:
    """Return whether an instance can carry the owner of a full fleet."""
    return settings.cores >= OWNER_CORES and settings.link_mbit >= OWNER_LINK_MBIT


class Candidacy:
    """Hold since when no owner was heard."""

    def __init__(
        self,
        name: str,
        is_preferred: bool,
        sign: Callable[[], OwnerSign | None],
        view_age: Callable[[], float],
        now: float,
    ) -> None:
        """Start without a view; times are in seconds of one steady clock."""
        self._is_preferred = is_preferred
        self._sign = sign
        self._view_age = view_age
        self._started_at = now
        # Until when the view told nothing; None before there was any.
        self._unsure_at: float | None = None
        self._delay = crc32(name.encode()) % 1000 / 1000 * SPREAD_SECONDS

    def stands(self, now: float) -> bool:
        """Return whether to claim the ownership now."""
        if self._view_age() > STALE_SECONDS:
            if self._unsure_at is not None:
                self._unsure_at = now
            return False
        if self._unsure_at is None:
            self._unsure_at = float("-inf")
        sign = self._sign()
        if sign is None or sign.is_leaving:
            silent_since = max(self._started_at, sign.heard_at if sign else 0.0)
            patience = 0.0
        else:
            silent_since = max(sign.heard_at, self._unsure_at)
            patience = SILENT_SECONDS
        if not self._is_preferred and (sign is None or sign.is_large):
            patience = SMALL_SILENT_SECONDS
            silent_since = max(silent_since, self._started_at)
        return now - silent_since > patience + self._delay
