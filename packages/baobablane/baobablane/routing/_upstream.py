"""Hold what one entry instance knows of an upstream."""

from dataclasses import dataclass


@dataclass(slots=True)
class UpstreamState:
    """Count an upstream's work in flight from this entry instance."""

    id: str
    zone: str
    slots: int
    connections: int
    in_flight: int = 0
    is_leaving: bool = False
    # Monotonic time, in seconds, until which it is known to be full.
    full_until: float = float("-inf")

    def has_capacity(self, now: float, connection_cap: int) -> bool:
        """Return whether another request may be sent to it."""
        if self.is_leaving or now < self.full_until:
            return False
        return self.in_flight < min(self.slots, connection_cap)

    @property
    def load(self) -> float:
        """Return the part of its slots that this entry instance uses."""
        return self.in_flight / self.slots
