"""Find out from the list of instances which upstreams have crashed.

A new life of an upstream has another id, so only the instance connects the two. An
upstream has crashed if its instance runs another one in the same pool, although nobody
ordered that and the upstream had not announced it. An upstream that can't be reached is
still listed as up; one that was replaced has its successor in another pool.
"""

from collections.abc import Collection, Mapping
from dataclasses import dataclass, field

from msgspec.structs import replace

from ..deployment import Instance, InstanceState
from ._host import Host


@dataclass(slots=True)
class HostChanges:
    """Hold what one list shows; upstreams are named by id."""

    # Instance of each upstream that has crashed.
    crashed: dict[str, str] = field(default_factory=dict)
    # Upstreams whose instance is down, so far without a successor.
    down: set[str] = field(default_factory=set)
    # Upstreams that ended for another reason.
    ended: set[str] = field(default_factory=set)
    up: set[str] = field(default_factory=set)


class HostTable:
    """Hold the latest upstream of each instance, also while the instance is down."""

    def __init__(self, host_by_instance: Mapping[str, Host]) -> None:
        """Start from the records of earlier owners."""
        self.host_by_instance = dict(host_by_instance)
        self._unrecorded: set[str] = set()

    def apply(
        self,
        instances: Collection[Instance],
        ordered_ms: Mapping[str, int],
        draining: Collection[str],
        unix_ms: int,
    ) -> HostChanges:
        """Apply a list of instances and return what it shows.

        `ordered_ms` holds the time of the latest order for each instance, in Unix
        milliseconds. `draining` holds the upstreams that have announced to stop.
        """
        changes = HostChanges()
        for instance in instances:
            host = self.host_by_instance.get(instance.id)
            if host is not None and not host.is_draining and host.upstream in draining:
                host = replace(host, is_draining=True)
                self._set(instance.id, host)
            if instance.state is InstanceState.UP and instance.upstream:
                self._apply_up(instance, host, ordered_ms, unix_ms, changes)
            elif host is None or instance.state is InstanceState.UNKNOWN:
                continue
            elif instance.state is InstanceState.DOWN:
                if not host.is_draining and not _is_ordered(
                    instance.id, host, ordered_ms
                ):
                    changes.down.add(host.upstream)
            else:
                changes.ended.add(host.upstream)
        return changes

    def pop_unrecorded(self) -> dict[str, Host]:
        """Return the hosts that changed since the previous call, by instance."""
        names, self._unrecorded = self._unrecorded, set()
        return {name: self.host_by_instance[name] for name in names}

    def instance_by_upstream(self) -> dict[str, str]:
        """Return the instance of the latest upstream of each instance."""
        return {host.upstream: name for name, host in self.host_by_instance.items()}

    def _apply_up(
        self,
        instance: Instance,
        host: Host | None,
        ordered_ms: Mapping[str, int],
        unix_ms: int,
        changes: HostChanges,
    ) -> None:
        changes.up.add(instance.upstream)
        if host is not None and host.upstream == instance.upstream:
            return
        if host is not None:
            if (
                host.pool == instance.pool
                and not host.is_draining
                and not _is_ordered(instance.id, host, ordered_ms)
            ):
                changes.crashed[host.upstream] = instance.id
            else:
                changes.ended.add(host.upstream)
        self._set(instance.id, Host(instance.upstream, instance.pool, unix_ms))

    def _set(self, instance_id: str, host: Host) -> None:
        self.host_by_instance[instance_id] = host
        self._unrecorded.add(instance_id)


def _is_ordered(instance_id: str, host: Host, ordered_ms: Mapping[str, int]) -> bool:
    return ordered_ms.get(instance_id, 0) >= host.listed_ms
