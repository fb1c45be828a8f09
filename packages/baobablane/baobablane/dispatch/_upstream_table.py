"""Track the upstreams that an entry instance sends to."""

from collections.abc import Collection
from random import Random

from ..config import Instance
from ..routing import EjectionPolicy, EjectionTable, UpstreamState, choose_upstream
from ._attempt import AttemptResult
from ._pool import PoolState
from ._request import WorkRequest


class UpstreamTable:
    """Track requests in flight, health and ejection of every upstream."""

    def __init__(
        self, ejection: EjectionPolicy, full_backoff_seconds: float, random: Random
    ) -> None:
        """Skip an upstream for `full_backoff_seconds` after it reports being full."""
        self._ejections = EjectionTable(ejection)
        self._full_backoff_seconds = full_backoff_seconds
        self._random = random
        self._by_id: dict[str, UpstreamState] = {}
        self._leaving: frozenset[str] = frozenset()
        self._entry_instances = 1

    def set_entry_instances(self, entry_instances: int) -> None:
        """Divide each upstream's connections evenly among the entry instances."""
        self._entry_instances = max(1, entry_instances)

    def set_leaving(self, instances: Collection[str]) -> None:
        """Stop sending requests to upstreams that are leaving."""
        self._leaving = frozenset(instances)
        for upstream in self._by_id.values():
            upstream.is_leaving = upstream.id in self._leaving

    def update(self, instance: Instance) -> UpstreamState:
        """Update an upstream from its instance in the register and return its state."""
        state = self._by_id.get(instance.id)
        if state is None:
            state = UpstreamState(
                instance.id, instance.zone, instance.slots, instance.connections
            )
            self._by_id[instance.id] = state
        state.zone = instance.zone
        state.slots = instance.slots
        state.connections = instance.connections
        state.is_leaving = instance.id in self._leaving
        return state

    def in_flight(self, upstream: str) -> int:
        """Return how many requests this entry instance has in flight at an upstream."""
        state = self._by_id.get(upstream)
        return 0 if state is None else state.in_flight

    def ejected(self, now: float) -> set[str]:
        """Return the ids of the ejected upstreams."""
        return {name for name in self._by_id if self._ejections.is_ejected(name, now)}

    def choose(
        self, pool: PoolState, request: WorkRequest, now: float
    ) -> UpstreamState | None:
        """Return an upstream with capacity that the request may use, or None."""

        def is_usable(upstream: UpstreamState) -> bool:
            if upstream.id in request.excluded_upstreams:
                return False
            cap = max(1, upstream.connections // self._entry_instances)
            if not upstream.has_capacity(now, cap):
                return False
            return not self._ejections.is_ejected(upstream.id, now)

        return choose_upstream(
            pool.upstreams, pool.local_upstreams, is_usable, self._random
        )

    def start_attempt(self, upstream: UpstreamState, now: float) -> None:
        """Count a new attempt as in flight."""
        upstream.in_flight += 1
        self._ejections.record_sent(upstream.id, now)

    def end_attempt(self, upstream: str) -> UpstreamState:
        """Count an attempt as ended and return its upstream's state."""
        state = self._by_id[upstream]
        state.in_flight -= 1
        return state

    def record_health(
        self,
        request: WorkRequest,
        upstream: UpstreamState,
        pool: PoolState,
        result: AttemptResult,
        now: float,
    ) -> None:
        """Update the health of upstreams from an attempt's result."""
        match result:
            case AttemptResult.DONE:
                self._ejections.record_success(upstream.id)
                # The request succeeded here, so its earlier failures count against the
                # upstreams where it failed.
                for failed in request.failed_upstreams:
                    self._ejections.record_failure(failed, pool.upstream_ids, now)
            case AttemptResult.FAILED if request.queue.idempotent:
                self._ejections.record_inconclusive(upstream.id)
                request.failed_upstreams.append(upstream.id)
            case AttemptResult.FULL:
                self._ejections.record_inconclusive(upstream.id)
                upstream.full_until = now + self._full_backoff_seconds
            case AttemptResult.CANCELLED | AttemptResult.NOT_RECORDED:
                self._ejections.record_inconclusive(upstream.id)
            case _:
                self._ejections.record_failure(upstream.id, pool.upstream_ids, now)
