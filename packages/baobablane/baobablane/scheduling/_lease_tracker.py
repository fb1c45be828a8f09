"""Bound when an upstream that is not heard any more has killed its tasks."""

# An upstream's clock may run slow by 2%.
SLOWEST_CLOCK_RATE = 0.98
# Time that an upstream may take to kill what has lapsed, in seconds.
KILL_SECONDS = 0.5


class LeaseTracker:
    """Relate an upstream's clock to the owner's, and hold the lease it was given."""

    def __init__(self, read_at: float, clock_ms: int) -> None:
        """Start from an answer with the upstream's clock; no lease is out yet."""
        self._clock_read_at = read_at
        self._clock_ms = clock_ms
        self._deadline_ms = 0

    def observe_clock(self, read_at: float, clock_ms: int) -> None:
        """Note an answer with the upstream's clock."""
        if clock_ms >= self._clock_ms:
            self._clock_read_at = read_at
            self._clock_ms = clock_ms

    def extend(self, now: float, seconds: float) -> int:
        """Return a deadline on the upstream's clock, and count on its being granted."""
        deadline_ms = self._clock_ms + round(
            (now - self._clock_read_at + seconds) * 1000
        )
        self._deadline_ms = max(self._deadline_ms, deadline_ms)
        return deadline_ms

    def deadline_for_start(self, now: float, min_seconds: float, seconds: float) -> int:
        """Return the granted deadline while that leaves `least` seconds, or extend.

        A start that an upstream does not hear then does not put off the time at which
        its leases are surely over.
        """
        left_ms = (
            self._deadline_ms - self._clock_ms - (now - self._clock_read_at) * 1000
        )
        if left_ms >= min_seconds * 1000:
            return self._deadline_ms
        return self.extend(now, seconds)

    def latest_expiry(self) -> float:
        """Return the owner's time after which no granted lease can be valid."""
        lease_ms = max(0, self._deadline_ms - self._clock_ms)
        return self._clock_read_at + lease_ms / 1000 / SLOWEST_CLOCK_RATE + KILL_SECONDS
