"""Fold a stream, starting at a checkpoint if older records have expired."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Generic, TypeVar

from ._record import LogRecord

StateT = TypeVar("StateT")
RecordT = TypeVar("RecordT")
ResultT = TypeVar("ResultT")


@dataclass(frozen=True, slots=True)
class FoldFunctions(Generic[StateT, RecordT, ResultT]):
    """Bundle the functions that fold one stream."""

    empty: StateT
    decode: Callable[[str], RecordT | None]
    # Return the new state and the result for a record at an offset.
    apply: Callable[[StateT, int, RecordT], tuple[StateT, ResultT]]
    # Return the last offset that a checkpoint includes, None for other records.
    checkpoint_offset: Callable[[RecordT], int | None]
    restore: Callable[[RecordT], StateT]
    # Return whether the first state is at least as new as the second.
    is_not_older: Callable[[StateT, StateT], bool]


class CheckpointedFold(Generic[StateT, RecordT, ResultT]):
    """Store a stream's folded state and the records that wait for a checkpoint."""

    def __init__(self, functions: FoldFunctions[StateT, RecordT, ResultT]) -> None:
        """Start with the empty state before the stream's first record."""
        self._functions = functions
        self._pending: list[LogRecord] = []
        self._pending_start_offset = 0
        self.state = functions.empty
        # False while skipped records are not yet covered by a checkpoint.
        self.is_complete = True
        self.next_offset = 0
        self.undecodable_count = 0

    def is_caught_up(self, next_offset: int) -> bool:
        """Return whether the state includes every record before an offset."""
        return self.is_complete and self.next_offset >= next_offset

    def skip_to(self, first_offset: int) -> None:
        """Skip expired records before an offset and wait for a checkpoint."""
        if first_offset <= self.next_offset:
            return
        self.is_complete = False
        self._pending = []
        self._pending_start_offset = first_offset
        self.next_offset = first_offset

    def feed(self, records: Sequence[LogRecord]) -> list[ResultT]:
        """Fold records in order and return the result of each one applied."""
        results: list[ResultT] = []
        for record in records:
            results.extend(self._feed_one(record))
        return results

    def adopt(self, record: RecordT, next_offset: int) -> bool:
        """Adopt a peer's checkpoint if it is newer; return whether it was adopted.

        `next_offset` is the offset of the next record that the peer will read.
        """
        offset = self._functions.checkpoint_offset(record)
        if offset is None or next_offset <= self.next_offset:
            return False
        state = self._functions.restore(record)
        if not self._functions.is_not_older(state, self.state):
            return False
        self.state = state
        self.next_offset = next_offset
        self.is_complete = True
        self._pending = []
        return True

    def _feed_one(self, record: LogRecord) -> list[ResultT]:
        if record.offset < self.next_offset:
            return []
        if record.offset > self.next_offset:
            self.skip_to(record.offset)
        self.next_offset = record.offset + 1
        if self.is_complete:
            return self._apply(record)
        self._pending.append(record)
        return self._try_restore(record)

    def _apply(self, record: LogRecord) -> list[ResultT]:
        decoded = self._functions.decode(record.payload)
        if decoded is None:
            self.undecodable_count += 1
            return []
        self.state, result = self._functions.apply(self.state, record.offset, decoded)
        return [result]

    def _try_restore(self, record: LogRecord) -> list[ResultT]:
        decoded = self._functions.decode(record.payload)
        if decoded is None:
            return []
        checkpoint_end = self._functions.checkpoint_offset(decoded)
        # Records between the checkpoint and the first pending one would be missing.
        if checkpoint_end is None or checkpoint_end + 1 < self._pending_start_offset:
            return []
        state = self._functions.restore(decoded)
        previous = self.state
        pending = self._pending
        self._pending = []
        self.is_complete = True
        self.state = state
        results: list[ResultT] = []
        for later in pending:
            if later.offset > checkpoint_end:
                results.extend(self._apply(later))
        # The checkpoint may be older than the state from before the skipped records.
        if not self._functions.is_not_older(self.state, previous):
            self.state = previous
        return results
