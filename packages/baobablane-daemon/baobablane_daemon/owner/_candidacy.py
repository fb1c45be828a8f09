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

from ..jobs import OwnerHeartbeat

# A start costs the owner about 2 ms of a core, and 500 a second are the most foreseen.
MIN_OWNER_CORES = 1.0
# Records, holds and starts at that rate take some 20 Mbit/s.
MIN_OWNER_LINK_MBIT = 50.0
# An owner shows itself every 0.4 s, every 0.8 s through a store of 90 times the usual
# time; twice that is silence.
HEARTBEAT_TIMEOUT_SECONDS = 1.5
# A large instance has stood and shown itself by then.
SMALL_HEARTBEAT_TIMEOUT_SECONDS = 3.0
# Instances stand one after the other within this, so that most hear of the first one's
# claim, which takes some 30 ms, before they send their own.
CLAIM_SPREAD_SECONDS = 0.2
# A view that is older than this tells nothing of the owner.
MAX_VIEW_AGE_SECONDS = 1.3


def is_large(settings: ProcessSettings) -> bool:
    """Return whether an instance can carry the owner of a full fleet."""
    return (
        settings.cores >= MIN_OWNER_CORES and settings.link_mbit >= MIN_OWNER_LINK_MBIT
    )


class Candidacy:
    """Hold since when no owner was heard."""

    def __init__(
        self,
        name: str,
        is_preferred: bool,
        heartbeat: Callable[[], OwnerHeartbeat | None],
        view_age: Callable[[], float],
        now: float,
    ) -> None:
        """Start without a view; times are in seconds of one steady clock."""
        self._is_preferred = is_preferred
        self._heartbeat = heartbeat
        self._view_age = view_age
        self._started_at = now
        # Until when the view told nothing; None before there was any.
        self._stale_until: float | None = None
        self._claim_delay_seconds = (
            crc32(name.encode()) % 1000 / 1000 * CLAIM_SPREAD_SECONDS
        )

    def should_claim(self, now: float) -> bool:
        """Return whether to claim the ownership now."""
        if self._view_age() > MAX_VIEW_AGE_SECONDS:
            if self._stale_until is not None:
                self._stale_until = now
            return False
        if self._stale_until is None:
            self._stale_until = float("-inf")
        heartbeat = self._heartbeat()
        if heartbeat is None or heartbeat.is_leaving:
            waiting_since = max(
                self._started_at, heartbeat.received_at if heartbeat else 0.0
            )
            timeout_seconds = 0.0
        else:
            waiting_since = max(heartbeat.received_at, self._stale_until)
            timeout_seconds = HEARTBEAT_TIMEOUT_SECONDS
        if not self._is_preferred and (heartbeat is None or heartbeat.is_large):
            timeout_seconds = SMALL_HEARTBEAT_TIMEOUT_SECONDS
            waiting_since = max(waiting_since, self._started_at)
        return now - waiting_since > timeout_seconds + self._claim_delay_seconds
