"""Store the topics and consumer groups of the stand-in store."""

from dataclasses import dataclass, field

from ._partition import Partition

PARTITION_COUNT = 8


@dataclass(slots=True)
class StoreSwitches:
    """Store the failures that are switched on, and the bandwidth of reads."""

    is_down: bool = False
    # Calls that arrive meanwhile get no response, also later.
    is_silent: bool = False
    # Topics that can't be read.
    unreadable_topics: set[str] = field(default_factory=set)
    # Appends have no effect and get no response (simulated by status 504).
    loses_writes: bool = False
    # Appends take effect, but their responses are lost (simulated by status 504).
    loses_responses: bool = False
    # Appends take effect after this time, and have no response (status 504).
    late_write_seconds: float = 0.0
    # Each append of this ordinal number is rejected with status 503; 0 for none.
    rejects_every: int = 0
    # Time by which all requests are delayed.
    delay_seconds: float = 0.0
    # Bandwidth of each read's response, in bytes per second; None for no limit.
    read_bandwidth: float | None = None


@dataclass(slots=True)
class _Group:
    generation: int = 0
    # Monotonic time, in seconds, at which a member is removed unless it renews.
    expires_at_by_member: dict[str, float] = field(default_factory=dict)
    owner_by_partition: dict[int, str] = field(default_factory=dict)


class PlatformStore:
    """Store all topics, and the groups that divide partitions among their members."""

    def __init__(self) -> None:
        """Start without topics, groups and failures."""
        self.switches = StoreSwitches()
        self._partitions: dict[tuple[str, int], Partition] = {}
        self._groups: dict[str, _Group] = {}

    def partition(self, topic: str, number: int) -> Partition:
        """Return a partition, creating it on first use."""
        key = (topic, number)
        if key not in self._partitions:
            self._partitions[key] = Partition(topic.startswith("keyed."))
        return self._partitions[key]

    def put(self, topic: str, key: str, value: bytes) -> None:
        """Append a keyed record without a producer, as the platform does."""
        name = key.encode()
        record = len(name).to_bytes(1, "big") + name + value
        self.partition(topic, 0).append([record], None)

    def forget_history(self) -> None:
        """Drop all records but the newest of each key."""
        for partition in self._partitions.values():
            partition.drop_before(partition.end_offset)

    def join(
        self, group: str, member: str, topic: str, ttl_seconds: float, now: float
    ) -> dict[str, object]:
        """Add or renew a member; return the generation and the partitions it owns.

        `now` is monotonic time in seconds.
        """
        state = self._groups.setdefault(group, _Group())
        for name, expires_at in list(state.expires_at_by_member.items()):
            if expires_at <= now and name != member:
                self._remove_member(state, name)
        if member not in state.expires_at_by_member:
            state.generation += 1
        state.expires_at_by_member[member] = now + ttl_seconds
        for number in range(PARTITION_COUNT):
            state.owner_by_partition.setdefault(number, member)
        owned = [
            [topic, n, 0]
            for n, name in state.owner_by_partition.items()
            if name == member
        ]
        return {"generation": state.generation, "ttlMs": ttl_seconds, "parts": owned}

    def leave(self, group: str, member: str) -> None:
        """Remove a member from a group and release its partitions."""
        state = self._groups.get(group)
        if state is not None:
            self._remove_member(state, member)

    def _remove_member(self, state: _Group, member: str) -> None:
        if state.expires_at_by_member.pop(member, None) is None:
            return
        state.generation += 1
        for number, name in list(state.owner_by_partition.items()):
            if name == member:
                del state.owner_by_partition[number]
