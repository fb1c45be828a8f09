"""Decide when an entry instance claims the ownership.

A change of owner takes time and loses the state that the owner had not recorded, so
other instances claim only after the owner has left or its heartbeats have timed out. Of
several concurrent claims, one succeeds.

Load pattern: deployments mix a few large instances with many that have half a core and
a low-bandwidth link, and the owner of a full fleet needs more than those have. A small
instance claims only after a timeout that is longer than a large one needs to claim.

Load pattern: the owner is lost in the peak of a burst. An instance that watches it
directly claims as soon as it suspects that, in the order of succession.

Load pattern: all entry instances restart at the same time, or lose the store for longer
than an owner may go on without it. The latest owner claims again at once, since nobody
else can be waiting for its heartbeats to time out.
"""

from collections.abc import Callable
from zlib import crc32

from baobablane.succession import MAX_WATCHERS, RANK_DELAY_SECONDS, Suspicion
from baobablane_platform import ProcessSettings

from ..jobs import OwnerHeartbeat, holder_instance

# Starting a task costs the owner about 2 ms of a core, and the design allows for at
# most 500 starts a second.
MIN_OWNER_CORES = 1.0
# At 500 starts a second, records, lease renewals and starts take about 20 Mbit/s.
MIN_OWNER_LINK_MBIT_PER_SECOND = 50.0
# An owner sends a heartbeat every 0.4 s, or every 0.8 s while the store takes 90 times
# as long as usual. The timeout is about twice that.
HEARTBEAT_TIMEOUT_SECONDS = 1.5
# A small instance waits for longer: by then, a large instance has claimed the ownership
# and sent a heartbeat.
SMALL_HEARTBEAT_TIMEOUT_SECONDS = 3.0
# Each instance delays its claim by a different time, up to this one, so that most of
# them read the first claim, which takes about 30 ms, before they send their own.
MAX_CLAIM_DELAY_SECONDS = 0.2
# An older view does not show whether there is an owner.
MAX_VIEW_AGE_SECONDS = 1.3


def is_large(settings: ProcessSettings) -> bool:
    """Return whether an instance has the resources to be the owner of a full fleet."""
    return settings.cores >= MIN_OWNER_CORES and has_wide_link(settings)


def has_wide_link(settings: ProcessSettings) -> bool:
    """Return whether an instance's link carries all that the owner writes."""
    return settings.link_mbit >= MIN_OWNER_LINK_MBIT_PER_SECOND


class Candidacy:
    """Decide from the owner's heartbeats when this instance claims the ownership."""

    def __init__(
        self,
        holder: str,
        is_large: bool,
        heartbeat: Callable[[], OwnerHeartbeat | None],
        view_age: Callable[[], float],
        now: float,
        line: Callable[[], tuple[str, ...]] = tuple,
        find_suspicion: Callable[[float], Suspicion | None] = lambda now: None,
    ) -> None:
        """Start without a view; times are in seconds of one monotonic clock.

        `line` returns the instances that watch the owner, its successor first, and
        `find_suspicion` why this instance suspects that the owner is lost, or None.
        """
        self._line = line
        self._find_suspicion = find_suspicion
        # When the current suspicion began; None without one.
        self._suspected_at: float | None = None
        # Whether only a suspicion makes the claim due, so that the store has to be read
        # before it.
        self.needs_read = False
        self._instance = holder_instance(holder)
        self._is_large = is_large
        self._heartbeat = heartbeat
        self._view_age = view_age
        self._started_at = now
        # When the view was last found stale; None before the first fresh view.
        self._last_stale_at: float | None = None
        self._random_delay_seconds = (
            crc32(holder.encode()) % 1000 / 1000 * MAX_CLAIM_DELAY_SECONDS
        )

    def should_claim(self, now: float) -> bool:
        """Return whether to claim the ownership now, and set `needs_read`."""
        self.needs_read = False
        if self._view_age() > MAX_VIEW_AGE_SECONDS:
            if self._last_stale_at is not None:
                self._last_stale_at = now
            return False
        if self._last_stale_at is None:
            self._last_stale_at = float("-inf")
        heartbeat = self._heartbeat()
        if (
            heartbeat is not None
            and holder_instance(heartbeat.holder) == self._instance
        ):
            # The latest owner was this process, or the one that it replaces.
            return True
        if self._is_timeout_due(now, heartbeat):
            return True
        self.needs_read = self._is_suspicion_due(now)
        return self.needs_read

    def _is_timeout_due(self, now: float, heartbeat: OwnerHeartbeat | None) -> bool:
        stale_at = self._last_stale_at
        last_stale_at = float("-inf") if stale_at is None else stale_at
        if heartbeat is None or heartbeat.is_leaving:
            waiting_since = max(
                self._started_at, heartbeat.received_at if heartbeat else 0.0
            )
            timeout_seconds = 0.0
        else:
            waiting_since = max(heartbeat.received_at, last_stale_at)
            timeout_seconds = HEARTBEAT_TIMEOUT_SECONDS
        if not self._is_large and (heartbeat is None or heartbeat.is_large):
            timeout_seconds = SMALL_HEARTBEAT_TIMEOUT_SECONDS
            waiting_since = max(waiting_since, self._started_at)
        return now - waiting_since > timeout_seconds + self._claim_delay()

    def _is_suspicion_due(self, now: float) -> bool:
        if self._find_suspicion(now) is None:
            self._suspected_at = None
            return False
        if self._suspected_at is None:
            self._suspected_at = now
        return now - self._suspected_at >= self._claim_delay()

    def _claim_delay(self) -> float:
        """Return how long others may claim before this instance, in seconds."""
        line = self._line()
        if self._instance in line:
            return line.index(self._instance) * RANK_DELAY_SECONDS
        later = MAX_WATCHERS * RANK_DELAY_SECONDS if line else 0.0
        return later + self._random_delay_seconds
