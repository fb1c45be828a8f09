"""Bound the time at which an unreachable upstream has killed all its tasks."""

# An upstream's clock may be slow by 2%.
SLOWEST_CLOCK_RATE = 0.98
# How long an upstream may take to kill tasks whose lease has expired.
KILL_SECONDS = 0.5


class LeaseTracker:
    """Relate an upstream's clock to the owner's, and track its lease deadline.

    Times in seconds are on the owner's clock, and times in ms on the upstream's.
    """

    def __init__(self, read_at: float, clock_ms: int) -> None:
        """Start from a reading of the upstream's clock, without a granted lease."""
        self._clock_read_at = read_at
        self._clock_ms = clock_ms
        self._deadline_ms = 0

    @property
    def has_granted(self) -> bool:
        """Return whether this owner has granted a lease."""
        return self._deadline_ms > 0

    @property
    def read_clock_ms(self) -> int:
        """Return the latest reading of the upstream's clock."""
        return self._clock_ms

    def observe_clock(self, read_at: float, clock_ms: int) -> None:
        """Update the reading of the upstream's clock; ignore one behind the latest."""
        if clock_ms >= self._clock_ms:
            self._clock_read_at = read_at
            self._clock_ms = clock_ms

    def clock_at(self, time: float) -> int:
        """Return what the upstream's clock shows at a time on the owner's clock."""
        return self._clock_ms + round((time - self._clock_read_at) * 1000)

    def extend(self, now: float, seconds: float) -> int:
        """Grant a lease of `seconds` from now, and return its deadline in ms."""
        deadline_ms = self.clock_at(now + seconds)
        self._deadline_ms = max(self._deadline_ms, deadline_ms)
        return deadline_ms

    def deadline_for_start(self, now: float, min_seconds: float, seconds: float) -> int:
        """Return the granted deadline if `min_seconds` are left of it, or extend it.

        Reusing the deadline means that a start which does not reach the upstream does
        not postpone the time at which its leases have certainly expired.
        """
        left_ms = (
            self._deadline_ms - self._clock_ms - (now - self._clock_read_at) * 1000
        )
        if left_ms >= min_seconds * 1000:
            return self._deadline_ms
        return self.extend(now, seconds)

    def latest_expiry(self) -> float:
        """Return the time by which all leases have expired and all runs are killed."""
        lease_ms = max(0, self._deadline_ms - self._clock_ms)
        return self._clock_read_at + lease_ms / 1000 / SLOWEST_CLOCK_RATE + KILL_SECONDS
