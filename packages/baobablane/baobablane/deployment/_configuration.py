"""Define one version of the operators' configuration."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from ._client_account import ClientAccount
from ._pool import Pool
from ._queue import Queue


@dataclass(frozen=True, slots=True)
class Configuration:
    """Hold the queues, pools and client accounts of one version."""

    version: int
    queues_by_name: Mapping[str, Queue] = field(default_factory=dict)
    pools_by_name: Mapping[str, Pool] = field(default_factory=dict)
    accounts_by_name: Mapping[str, ClientAccount] = field(default_factory=dict)
    accounts_by_key: Mapping[str, ClientAccount] = field(default_factory=dict)
    max_body_bytes: int = 262_144
    max_head_bytes: int = 16_384

    def find_queue(self, host: str, path: str) -> Queue | None:
        """Return the host's queue with the longest prefix of the path, or None."""
        matches = [
            queue
            for queue in self.queues_by_name.values()
            if queue.host == host and path.startswith(queue.path_prefix)
        ]
        return max(matches, key=lambda queue: len(queue.path_prefix), default=None)

    def standby_pools(self) -> frozenset[str]:
        """Return the names of the pools whose instances are switched off."""
        return frozenset(p.name for p in self.pools_by_name.values() if p.is_standby)
