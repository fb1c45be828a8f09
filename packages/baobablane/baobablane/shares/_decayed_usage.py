"""Track recent use of slots with exponential decay."""

import math
from collections import defaultdict
from collections.abc import Mapping


class DecayedUsage:
    """Track the slot-seconds used under each name, decayed exponentially."""

    def __init__(self, decay_seconds: float) -> None:
        """Start without usage; `decay_seconds` is the time constant.

        Raise ValueError if it is not positive.
        """
        if decay_seconds <= 0:
            raise ValueError(f"decay_seconds must be positive, not {decay_seconds}")
        self._decay_seconds = decay_seconds
        self._usage_by_name: dict[str, float] = defaultdict(float)
        self._decayed_at = float("-inf")

    def charge(self, name: str, slot_seconds: float, now: float) -> None:
        """Add slot-seconds to a name at a time in seconds.

        A negative amount corrects an estimate.
        """
        self._decay(now)
        self._usage_by_name[name] += slot_seconds

    def usage(self, name: str) -> float:
        """Return the decayed slot-seconds of a name at the time of the last charge."""
        return self._usage_by_name.get(name, 0.0)

    def total(self) -> float:
        """Return the decayed slot-seconds of all names together."""
        return sum(self._usage_by_name.values())

    def snapshot(self) -> Mapping[str, float]:
        """Return the decayed slot-seconds by name."""
        return dict(self._usage_by_name)

    def _decay(self, now: float) -> None:
        if now <= self._decayed_at:
            return
        if self._usage_by_name:
            factor = math.exp((self._decayed_at - now) / self._decay_seconds)
            for name in self._usage_by_name:
                self._usage_by_name[name] *= factor
        self._decayed_at = now
