"""Fold a stream whose oldest records may have expired."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Generic, TypeVar

from ._record import LogRecord

S = TypeVar("S")
R = TypeVar("R")
V = TypeVar("V")


@dataclass(frozen=True, slots=True)
class FoldRules(Generic[S, R, V]):
    """Hold the functions that make a fold of one stream."""

    empty: S
    decode: Callable[[str], R | None]
    apply: Callable[[S, int, R], tuple[S, V]]
    # Return the offset up to which a checkpoint folds, None for other records.
    checkpoint_offset: Callable[[R], int | None]
    restore: Callable[[R], S]
    # Return whether the first state is at least as new as the second.
    is_newer: Callable[[S, S], bool]


class AnchoredFold(Generic[S, R, V]):
    """Hold a fold's state and the records that still wait for a checkpoint."""

    def __init__(self, rules: FoldRules[S, R, V]) -> None:
        """Start with the empty state, before the first record of the stream."""
        self._rules = rules
        self._pending: list[LogRecord] = []
        self._pending_from = 0
        self.state = rules.empty
        self.anchored = True
        self.next_offset = 0
        self.undecodable = 0

    def is_caught_up(self, next_offset: int) -> bool:
        """Return whether every record before an offset is folded."""
        return self.anchored and self.next_offset >= next_offset

    def skip_to(self, first_offset: int) -> None:
        """Note that the log no longer holds the records before an offset."""
        if first_offset <= self.next_offset:
            return
        self.anchored = False
        self._pending = []
        self._pending_from = first_offset
        self.next_offset = first_offset

    def feed(self, records: Sequence[LogRecord]) -> list[V]:
        """Fold records in order and return a verdict for each one applied."""
        verdicts: list[V] = []
        for record in records:
            verdicts.extend(self._feed_one(record))
        return verdicts

    def adopt(self, record: R, next_offset: int) -> bool:
        """Take a peer's checkpoint if it is newer than the state held."""
        offset = self._rules.checkpoint_offset(record)
        if offset is None or next_offset <= self.next_offset:
            return False
        state = self._rules.restore(record)
        if not self._rules.is_newer(state, self.state):
            return False
        self.state = state
        self.next_offset = next_offset
        self.anchored = True
        self._pending = []
        return True

    def _feed_one(self, record: LogRecord) -> list[V]:
        if record.offset < self.next_offset:
            return []
        if record.offset > self.next_offset:
            self.skip_to(record.offset)
        self.next_offset = record.offset + 1
        if self.anchored:
            return self._apply(record)
        self._pending.append(record)
        return self._try_anchor(record)

    def _apply(self, record: LogRecord) -> list[V]:
        decoded = self._rules.decode(record.payload)
        if decoded is None:
            self.undecodable += 1
            return []
        self.state, verdict = self._rules.apply(self.state, record.offset, decoded)
        return [verdict]

    def _try_anchor(self, record: LogRecord) -> list[V]:
        decoded = self._rules.decode(record.payload)
        if decoded is None:
            return []
        upto = self._rules.checkpoint_offset(decoded)
        # Records between the checkpoint and the oldest kept one would be missed.
        if upto is None or upto + 1 < self._pending_from:
            return []
        state = self._rules.restore(decoded)
        held = self.state
        pending = self._pending
        self._pending = []
        self.anchored = True
        self.state = state
        verdicts: list[V] = []
        for later in pending:
            if later.offset > upto:
                verdicts.extend(self._apply(later))
        if not self._rules.is_newer(self.state, held):
            self.state = held
        return verdicts
