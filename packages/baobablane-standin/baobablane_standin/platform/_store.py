"""Hold the topics and groups of the stand-in store."""

from dataclasses import dataclass, field

from ._partition import Partition

PARTITIONS = 8


@dataclass(slots=True)
class StoreSwitches:
    """Hold the failures that are switched on."""

    is_down: bool = False
    # Appends are neither carried out nor answered.
    loses_writes: bool = False
    # Appends take effect, and their answers are lost.
    loses_answers: bool = False


@dataclass(slots=True)
class _Group:
    generation: int = 0
    # When each member is taken to be gone.
    lapses_at: dict[str, float] = field(default_factory=dict)
    owners: dict[int, str] = field(default_factory=dict)


class PlatformStore:
    """Hold all topics, and the groups that share their partitions."""

    def __init__(self) -> None:
        """Start empty."""
        self.switches = StoreSwitches()
        self._partitions: dict[tuple[str, int], Partition] = {}
        self._groups: dict[str, _Group] = {}

    def partition(self, topic: str, number: int) -> Partition:
        """Return a partition, made on first use."""
        key = (topic, number)
        if key not in self._partitions:
            self._partitions[key] = Partition(topic.startswith("keyed."))
        return self._partitions[key]

    def put(self, topic: str, key: str, value: bytes) -> None:
        """Write a keyed record as the platform's own writers do."""
        name = key.encode()
        content = len(name).to_bytes(1, "big") + name + value
        self.partition(topic, 0).append([content], None)

    def join(
        self, group: str, member: str, topic: str, ttl_seconds: float, now: float
    ) -> dict[str, object]:
        """Keep a member in a group and return what it owns."""
        state = self._groups.setdefault(group, _Group())
        for name, lapses_at in list(state.lapses_at.items()):
            if lapses_at <= now and name != member:
                self._remove(state, name)
        if member not in state.lapses_at:
            state.generation += 1
        state.lapses_at[member] = now + ttl_seconds
        for number in range(PARTITIONS):
            state.owners.setdefault(number, member)
        owned = [[topic, n, 0] for n, name in state.owners.items() if name == member]
        return {"generation": state.generation, "ttlMs": ttl_seconds, "parts": owned}

    def leave(self, group: str, member: str) -> None:
        """Take a member out of a group."""
        state = self._groups.get(group)
        if state is not None:
            self._remove(state, member)

    def _remove(self, state: _Group, member: str) -> None:
        if state.lapses_at.pop(member, None) is None:
            return
        state.generation += 1
        for number, name in list(state.owners.items()):
            if name == member:
                del state.owners[number]
