"""Decide whether an entry instance stands for owner.

Load pattern: deployments mix a few large instances with many of half a core and a
narrow link, and the owner of a full fleet needs more than those have. A small one
stands only after no owner was heard for longer than a large one takes to replace it.
"""

from collections.abc import Callable

from baobablane_platform import ProcessSettings

# A start costs the owner about 2 ms of a core, and 500 a second are the most foreseen.
OWNER_CORES = 1.0
# Records, holds and starts at that rate take some 20 Mbit/s.
OWNER_LINK_MBIT = 50.0
# A killed owner is replaced 1.5 s after its last record, and records at once; twice
# that leaves room for a slow store.
OWNERLESS_SECONDS = 3.0
# A view that is older than this tells nothing of the owner.
STALE_SECONDS = 1.3


def is_large(settings: ProcessSettings) -> bool:
    """Return whether an instance can carry the owner of a full fleet."""
    return settings.cores >= OWNER_CORES and settings.link_mbit >= OWNER_LINK_MBIT


class Candidacy:
    """Hold since when no owner was heard."""

    def __init__(
        self,
        is_preferred: bool,
        heard_at: Callable[[], float],
        view_age: Callable[[], float],
        now: float,
    ) -> None:
        """Start as if an owner had just been heard; times are in seconds."""
        self._is_preferred = is_preferred
        self._heard_at = heard_at
        self._view_age = view_age
        self._unsure_at = now

    def stands(self, now: float) -> bool:
        """Return whether to be a member of the group of candidates now."""
        if self._is_preferred:
            return True
        if self._view_age() > STALE_SECONDS:
            self._unsure_at = now
        return now - max(self._heard_at(), self._unsure_at) > OWNERLESS_SECONDS
