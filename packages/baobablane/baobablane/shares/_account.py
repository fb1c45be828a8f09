"""Account for the service that each team received, with decay."""

import math
from collections import defaultdict
from collections.abc import Mapping


class ServiceAccounts:
    """Hold slot-seconds received by each name, decayed over a time constant."""

    def __init__(self, decay_seconds: float) -> None:
        """Start with nothing received; `decay_seconds` is the time constant."""
        if decay_seconds <= 0:
            raise ValueError(f"decay_seconds must be positive, not {decay_seconds}")
        self._decay_seconds = decay_seconds
        self._received: dict[str, float] = defaultdict(float)
        self._decayed_at = float("-inf")

    def charge(self, name: str, slot_seconds: float, now: float) -> None:
        """Add slot-seconds to a name; negative amounts correct an estimate."""
        self._decay(now)
        self._received[name] += slot_seconds

    def received(self, name: str) -> float:
        """Return the decayed slot-seconds of a name as of the last charge."""
        return self._received.get(name, 0.0)

    def total(self) -> float:
        """Return the decayed slot-seconds of all names."""
        return sum(self._received.values())

    def snapshot(self) -> Mapping[str, float]:
        """Return the decayed slot-seconds by name."""
        return dict(self._received)

    def _decay(self, now: float) -> None:
        if now <= self._decayed_at:
            return
        if self._received:
            factor = math.exp((self._decayed_at - now) / self._decay_seconds)
            for name in self._received:
                self._received[name] *= factor
        self._decayed_at = now
