"""Define the state that one entry instance keeps of an upstream."""

from dataclasses import dataclass


@dataclass(slots=True)
class UpstreamState:
    """Track an upstream's capacity and its requests from this entry instance."""

    id: str
    zone: str
    slots: int
    connections: int
    in_flight: int = 0
    is_leaving: bool = False
    # Monotonic time, in seconds, until which the upstream counts as full.
    full_until: float = float("-inf")

    def has_capacity(self, now: float, connection_cap: int) -> bool:
        """Return whether the upstream can receive another request."""
        if self.is_leaving or now < self.full_until:
            return False
        return self.in_flight < min(self.slots, connection_cap)

    @property
    def load(self) -> float:
        """Return the fraction of the slots that this entry instance uses."""
        return self.in_flight / self.slots
