"""Hold one partition of the stand-in store."""

import asyncio
from dataclasses import dataclass, field

ANSWERS_KEPT = 5


class PartitionError(Exception):
    """Refuse an append; the answer says why."""

    def __init__(self, status: int, answer: dict[str, object]) -> None:
        """Keep the status and the answer."""
        self.status = status
        self.answer = answer
        super().__init__(str(answer))


@dataclass(slots=True)
class _Producer:
    epoch: int
    next_sequence: int | None = None
    answers: dict[int, dict[str, int]] = field(default_factory=dict)


class Partition:
    """Hold records, the newest of each key and the epochs of producers."""

    def __init__(self, is_keyed: bool) -> None:
        """Start empty."""
        self.first = 0
        self.records: list[bytes] = []
        self.newest: dict[str, tuple[int, bytes]] = {}
        self._is_keyed = is_keyed
        self._producers: dict[str, _Producer] = {}
        self._changed = asyncio.Event()

    @property
    def end(self) -> int:
        """Return the offset after the last record."""
        return self.first + len(self.records)

    def append(
        self,
        contents: list[bytes],
        producer: tuple[str, int, int] | None,
        only_at: int | None = None,
    ) -> dict[str, int]:
        """Append records and return the answer, or raise PartitionError."""
        known = self._admit(producer) if producer else None
        if known is not None and producer is not None and producer[2] in known.answers:
            # A repeat is answered before its condition is looked at.
            return known.answers[producer[2]]
        if only_at is not None and only_at != self.end:
            raise PartitionError(412, {"end": self.end})
        if known is not None and producer is not None:
            self._producers[producer[0]] = known
        answer = {"offset": self.end, "end": self.end + len(contents)}
        for content in contents:
            if self._is_keyed:
                self._keep_newest(content)
            self.records.append(content)
        if known is not None and producer is not None and contents:
            known.next_sequence = producer[2] + 1
            known.answers[producer[2]] = answer
            for sequence in sorted(known.answers)[:-ANSWERS_KEPT]:
                del known.answers[sequence]
        self._changed.set()
        self._changed = asyncio.Event()
        return answer

    def forget_before(self, offset: int) -> None:
        """Drop the records before an offset; the newest of each key stay."""
        count = max(0, min(offset, self.end) - self.first)
        del self.records[:count]
        self.first += count

    async def wait_for(self, offset: int, seconds: float) -> None:
        """Return when there is a record at an offset, or after a time."""
        if offset < self.end:
            return
        try:
            async with asyncio.timeout(seconds):
                await self._changed.wait()
        except TimeoutError:
            return

    def _admit(self, producer: tuple[str, int, int]) -> _Producer:
        name, epoch, sequence = producer
        known = self._producers.get(name)
        if known is None or epoch > known.epoch:
            return _Producer(epoch)
        if epoch < known.epoch:
            raise PartitionError(409, {"reason": "fenced"})
        expected = known.next_sequence
        is_repeat = sequence in known.answers
        if expected is not None and sequence != expected and not is_repeat:
            raise PartitionError(409, {"reason": "seq", "sequence": expected})
        return known

    def _keep_newest(self, content: bytes) -> None:
        end = 1 + content[0]
        key, value = content[1:end].decode(), content[end:]
        if value:
            self.newest[key] = (self.end, value)
        else:
            self.newest.pop(key, None)
