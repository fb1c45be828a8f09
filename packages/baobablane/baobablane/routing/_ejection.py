"""Take upstreams that fail more than their peers out of the choice."""

from collections.abc import Collection
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class EjectionPolicy:
    """Hold the bounds of ejection."""

    failures_to_eject: float = 4.0
    ratio_to_eject: float = 0.5
    # Failure ratio above its peers' that marks an upstream as worse than them.
    excess_over_peers: float = 0.25
    most_ejected: float = 0.5
    first_ejection_seconds: float = 5.0
    longest_ejection_seconds: float = 60.0
    decay: float = 0.9


@dataclass(slots=True)
class _Health:
    successes: float = 0.0
    failures: float = 0.0
    ejected_until: float = float("-inf")
    ejections: int = 0
    probing: bool = False

    @property
    def ratio(self) -> float:
        total = self.successes + self.failures
        return self.failures / total if total else 0.0


class EjectionTable:
    """Hold the recent results of every upstream."""

    def __init__(self, policy: EjectionPolicy) -> None:
        """Start with every upstream in use."""
        self._policy = policy
        self._by_id: dict[str, _Health] = {}

    def is_ejected(self, upstream: str, now: float) -> bool:
        """Return whether an upstream is out, or has its one probe under way."""
        health = self._by_id.get(upstream)
        if health is None or health.ejections == 0:
            return False
        return now < health.ejected_until or health.probing

    def sent(self, upstream: str, now: float) -> None:
        """Note a request; the first one after an ejection is the probe."""
        health = self._by_id.get(upstream)
        if health is not None and health.ejections and now >= health.ejected_until:
            health.probing = True

    def dropped(self, upstream: str) -> None:
        """Note a request that ended without telling the upstream's health."""
        health = self._by_id.get(upstream)
        if health is not None:
            health.probing = False

    def succeeded(self, upstream: str) -> None:
        """Note a whole answer."""
        health = self._by_id.setdefault(upstream, _Health())
        if health.probing:
            self._by_id[upstream] = _Health(successes=1.0)
            return
        self._age(health)
        health.successes += 1

    def failed(self, upstream: str, pool: Collection[str], now: float) -> bool:
        """Note a failure and return whether it ejects the upstream."""
        health = self._by_id.setdefault(upstream, _Health())
        self._age(health)
        health.failures += 1
        if health.probing:
            health.probing = False
            return self._eject(health, now)
        if not self._is_worse_than_peers(upstream, health, pool, now):
            return False
        return self._eject(health, now)

    def _age(self, health: _Health) -> None:
        health.successes *= self._policy.decay
        health.failures *= self._policy.decay

    def _is_worse_than_peers(
        self, upstream: str, health: _Health, pool: Collection[str], now: float
    ) -> bool:
        policy = self._policy
        # Decay bounds the count below failures_to_eject / (1 - decay).
        if health.failures < policy.failures_to_eject * policy.decay**3:
            return False
        ejected = sum(self.is_ejected(peer, now) for peer in pool)
        if ejected + 1 > policy.most_ejected * len(pool):
            return False
        peers = [
            self._by_id.get(peer, _Health())
            for peer in pool
            if peer != upstream and not self.is_ejected(peer, now)
        ]
        typical = (
            sorted(peer.ratio for peer in peers)[len(peers) // 2] if peers else 0.0
        )
        excess = health.ratio - typical
        return (
            health.ratio >= policy.ratio_to_eject and excess >= policy.excess_over_peers
        )

    def _eject(self, health: _Health, now: float) -> bool:
        seconds = self._policy.first_ejection_seconds * 2**health.ejections
        health.ejections += 1
        health.ejected_until = now + min(seconds, self._policy.longest_ejection_seconds)
        health.successes = 0.0
        health.failures = 0.0
        return True
