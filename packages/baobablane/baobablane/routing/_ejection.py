"""Eject upstreams that fail more than their peers."""

from collections.abc import Collection
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class EjectionPolicy:
    """Set when upstreams are ejected, how many and for how long."""

    # Failures in close succession that eject an upstream; earlier ones count less.
    min_failures: float = 4.0
    min_failure_ratio: float = 0.5
    # How far the failure ratio must exceed the median of the peers.
    min_excess_over_peers: float = 0.25
    # The fraction of a pool's upstreams that may be ejected at the same time.
    max_ejected_fraction: float = 0.5
    # Each further ejection lasts twice as long, until a probe succeeds.
    first_ejection_seconds: float = 5.0
    max_ejection_seconds: float = 60.0
    # A probe without a result keeps the upstream closed for this long. Then more may
    # be sent, as the probe may run for minutes, and a bad upstream fails early.
    max_probe_seconds: float = 2.0
    # Multiplies the counts of earlier results when a new one is recorded.
    decay_factor: float = 0.9


@dataclass(slots=True)
class _UpstreamHealth:
    successes: float = 0.0
    failures: float = 0.0
    ejected_until: float = float("-inf")
    # When it may get what no other upstream can do.
    retry_at: float = float("-inf")
    ejections: int = 0
    # Something was sent since the ejection, and nothing is known of it yet.
    is_probing: bool = False
    probed_at: float = float("-inf")

    @property
    def failure_ratio(self) -> float:
        total = self.successes + self.failures
        return self.failures / total if total else 0.0


class EjectionTable:
    """Track recent results and ejections of every upstream."""

    def __init__(self, policy: EjectionPolicy) -> None:
        """Create a table in which no upstream is ejected."""
        self._policy = policy
        self._by_id: dict[str, _UpstreamHealth] = {}

    def is_ejected(self, upstream: str, now: float) -> bool:
        """Return whether an upstream is ejected or waits for its probe's result."""
        health = self._by_id.get(upstream)
        if health is None or health.ejections == 0:
            return False
        return now < health.ejected_until or self._is_in_probe(health, now)

    def may_retry(self, upstream: str, now: float) -> bool:
        """Return whether an upstream may get what no other upstream can do.

        It waits for the first ejection time after each ejection, however many there
        were: nothing else shows whether it is sound again.
        """
        health = self._by_id.get(upstream)
        if health is None or health.ejections == 0:
            return True
        return now >= health.retry_at and not self._is_in_probe(health, now)

    def record_sent(self, upstream: str, now: float) -> None:
        """Record a request, which is a probe until one has succeeded after ejection."""
        health = self._by_id.get(upstream)
        if health is None or not health.ejections or now < health.retry_at:
            return
        if not self._is_in_probe(health, now):
            health.is_probing, health.probed_at = True, now

    def record_inconclusive(self, upstream: str) -> None:
        """Record a request that ended without evidence of the upstream's health."""
        health = self._by_id.get(upstream)
        if health is not None:
            health.is_probing = False

    def record_success(self, upstream: str) -> None:
        """Record a success, which ends the ejection of an upstream under probe."""
        health = self._by_id.setdefault(upstream, _UpstreamHealth())
        if health.is_probing:
            self._by_id[upstream] = _UpstreamHealth(successes=1.0)
            return
        self._apply_decay(health)
        health.successes += 1

    def record_failure(
        self, upstream: str, upstreams_in_pool: Collection[str], now: float
    ) -> bool:
        """Record a failure and return whether it ejects the upstream.

        `upstreams_in_pool` are the ids of all upstreams of its pool, its own included.
        A failure during an ejection, unless of a probe, is of what was sent before.
        That adds nothing to what the ejection is for.
        """
        health = self._by_id.setdefault(upstream, _UpstreamHealth())
        if now < health.ejected_until and not health.is_probing:
            return False
        self._apply_decay(health)
        health.failures += 1
        if health.is_probing:
            health.is_probing = False
            return self._eject(health, now)
        if not self._is_worse_than_peers(upstream, health, upstreams_in_pool, now):
            return False
        return self._eject(health, now)

    def _is_in_probe(self, health: _UpstreamHealth, now: float) -> bool:
        return (
            health.is_probing
            and now < health.probed_at + self._policy.max_probe_seconds
        )

    def _apply_decay(self, health: _UpstreamHealth) -> None:
        health.successes *= self._policy.decay_factor
        health.failures *= self._policy.decay_factor

    def _is_worse_than_peers(
        self,
        upstream: str,
        health: _UpstreamHealth,
        upstreams_in_pool: Collection[str],
        now: float,
    ) -> bool:
        policy = self._policy
        # Earlier failures have decayed, which bounds the count, so the threshold is
        # decayed as well.
        if health.failures < policy.min_failures * policy.decay_factor**3:
            return False
        ejected = sum(self.is_ejected(peer, now) for peer in upstreams_in_pool)
        if ejected + 1 > policy.max_ejected_fraction * len(upstreams_in_pool):
            return False
        peers = [
            self._by_id.get(peer, _UpstreamHealth())
            for peer in upstreams_in_pool
            if peer != upstream and not self.is_ejected(peer, now)
        ]
        median_ratio = (
            sorted(peer.failure_ratio for peer in peers)[len(peers) // 2]
            if peers
            else 0.0
        )
        excess = health.failure_ratio - median_ratio
        return (
            health.failure_ratio >= policy.min_failure_ratio
            and excess >= policy.min_excess_over_peers
        )

    def _eject(self, health: _UpstreamHealth, now: float) -> bool:
        seconds = self._policy.first_ejection_seconds * 2**health.ejections
        health.ejections += 1
        health.ejected_until = now + min(seconds, self._policy.max_ejection_seconds)
        health.retry_at = now + self._policy.first_ejection_seconds
        health.successes = 0.0
        health.failures = 0.0
        return True
