"""Define the latest load record that this process has read."""

from dataclasses import dataclass

from baobablane.admission import LoadSummary


@dataclass(frozen=True, slots=True)
class OwnerLoad:
    """Hold the owner's summary of the load and its arrival."""

    summary: LoadSummary
    # Seconds of this process's monotonic clock.
    received_at: float

    def age_seconds(self, now: float, unix_ms: int) -> float:
        """Return the larger of the ages by arrival and by the owner's timestamp.

        The record may have waited in the store or on a slow link, and the owner's clock
        may be ahead of this one.
        """
        return max(now - self.received_at, (unix_ms - self.summary.at_ms) / 1000)
