"""Store one partition of the stand-in store in memory."""

import asyncio
from dataclasses import dataclass, field

KEPT_RESPONSES_PER_PRODUCER = 5


class AppendRejectedError(Exception):
    """Report a rejected append, with the HTTP status and the response."""

    def __init__(self, status: int, response: dict[str, object]) -> None:
        """Keep the HTTP status and the JSON response for the client."""
        self.status = status
        self.response = response
        super().__init__(str(response))


@dataclass(slots=True)
class _Producer:
    epoch: int
    next_sequence: int | None = None
    response_by_sequence: dict[int, dict[str, int]] = field(default_factory=dict)


class Partition:
    """Store records, the newest record of each key, and the state of producers."""

    def __init__(self, is_keyed: bool) -> None:
        """Start empty; records of a keyed partition begin with their key."""
        self.first_offset = 0
        self.records: list[bytes] = []
        # The offset and the value of the newest record of each key.
        self.newest: dict[str, tuple[int, bytes]] = {}
        # The keys of these in order, or None after a change.
        self._sorted_keys: list[str] | None = None
        self._is_keyed = is_keyed
        self._producers: dict[str, _Producer] = {}
        self._changed = asyncio.Event()

    @property
    def end_offset(self) -> int:
        """Return the offset after the last record."""
        return self.first_offset + len(self.records)

    def append(
        self,
        new_records: list[bytes],
        producer: tuple[str, int, int] | None,
        expected_end_offset: int | None = None,
    ) -> dict[str, int]:
        """Append records and return their first offset and the new end offset.

        `producer` is the name, epoch and sequence number of the append, or None for
        an append that is not fenced. With `expected_end_offset`, the append succeeds
        only if the partition ends there. Raise AppendRejectedError on a rejection.
        """
        state = self._check_producer(producer) if producer else None
        if (
            state is not None
            and producer is not None
            and producer[2] in state.response_by_sequence
        ):
            # The platform returns the first response to a repeated append, without
            # checking the expected end again.
            return state.response_by_sequence[producer[2]]
        if expected_end_offset is not None and expected_end_offset != self.end_offset:
            raise AppendRejectedError(412, {"end": self.end_offset})
        if state is not None and producer is not None:
            self._producers[producer[0]] = state
        response = {
            "offset": self.end_offset,
            "end": self.end_offset + len(new_records),
        }
        for record in new_records:
            if self._is_keyed:
                self._update_newest(record)
            self.records.append(record)
        if state is not None and producer is not None and new_records:
            state.next_sequence = producer[2] + 1
            state.response_by_sequence[producer[2]] = response
            for sequence in sorted(state.response_by_sequence)[
                :-KEPT_RESPONSES_PER_PRODUCER
            ]:
                del state.response_by_sequence[sequence]
        self._changed.set()
        self._changed = asyncio.Event()
        return response

    def sorted_keys(self) -> list[str]:
        """Return the keys of the newest records in order."""
        if self._sorted_keys is None:
            self._sorted_keys = sorted(self.newest)
        return self._sorted_keys

    def drop_before(self, offset: int) -> None:
        """Drop the records before an offset, but keep the newest record of each key."""
        count = max(0, min(offset, self.end_offset) - self.first_offset)
        del self.records[:count]
        self.first_offset += count

    async def wait_for_record(self, offset: int, seconds: float) -> None:
        """Wait up to `seconds` for the next append if an offset has no record yet."""
        if offset < self.end_offset:
            return
        try:
            async with asyncio.timeout(seconds):
                await self._changed.wait()
        except TimeoutError:
            return

    def _check_producer(self, producer: tuple[str, int, int]) -> _Producer:
        name, epoch, sequence = producer
        state = self._producers.get(name)
        if state is None or epoch > state.epoch:
            return _Producer(epoch)
        if epoch < state.epoch:
            raise AppendRejectedError(409, {"reason": "fenced"})
        expected = state.next_sequence
        is_repeat = sequence in state.response_by_sequence
        if expected is not None and sequence != expected and not is_repeat:
            raise AppendRejectedError(409, {"reason": "seq", "sequence": expected})
        return state

    def _update_newest(self, record: bytes) -> None:
        end = 1 + record[0]
        key, value = record[1:end].decode(), record[end:]
        if (key in self.newest) != bool(value):
            self._sorted_keys = None
        if value:
            self.newest[key] = (self.end_offset, value)
        else:
            self.newest.pop(key, None)
