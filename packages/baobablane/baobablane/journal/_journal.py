"""Fold the journal stream into one state per idempotency key."""

from collections.abc import Sequence
from dataclasses import dataclass

from ..errors import Outcome, ResultCode, outcome_of
from ..log import LogRecord
from ._record import Intent, RecordedOutcome, decode_record

PRUNE_INTERVAL_SECONDS = 1.0


@dataclass(slots=True)
class IdempotencyKeyState:
    """Store the current intent of an idempotency key and its outcome."""

    intent: Intent
    outcome: RecordedOutcome | None = None

    @property
    def is_reusable(self) -> bool:
        """Return whether the key may be reused, since its request did not run."""
        if self.outcome is None:
            return False
        return outcome_of(ResultCode(self.outcome.code)) is Outcome.NOT_RUN


class Journal:
    """Store every idempotency key until its validity ends on the log's clock."""

    # Validity is judged by the time at which the log appended each record, so that
    # a wrong clock on an entry instance can't make an expired key valid again.

    def __init__(self, max_validity_seconds: float) -> None:
        """Accept keys that expire within `max_validity_seconds` of their intent."""
        self._max_validity_seconds = max_validity_seconds
        self._by_key: dict[str, IdempotencyKeyState] = {}
        self._next_offset = 0
        self._pruned_at = 0.0

    def __len__(self) -> int:
        """Return the number of stored keys."""
        return len(self._by_key)

    def get(self, key: str) -> IdempotencyKeyState | None:
        """Return a key's state, or None if it has no intent."""
        return self._by_key.get(key)

    def feed(self, records: Sequence[LogRecord]) -> list[Intent | RecordedOutcome]:
        """Apply records in order and return those that decode."""
        folded: list[Intent | RecordedOutcome] = []
        for record in records:
            if record.offset < self._next_offset:
                continue
            self._next_offset = record.offset + 1
            decoded = decode_record(record.payload)
            if decoded is not None:
                self._apply(decoded, record.appended_at)
                folded.append(decoded)
            self._prune(record.appended_at)
        return folded

    def is_current(self, intent: Intent) -> bool:
        """Return whether an intent read back from the log is its key's current one."""
        state = self._by_key.get(intent.key)
        return state is not None and state.intent.id == intent.id

    def _apply(self, record: Intent | RecordedOutcome, appended_at: float) -> None:
        state = self._by_key.get(record.key)
        if isinstance(record, Intent):
            if state is None or (state.is_reusable and state.intent.id != record.id):
                self._accept(record, appended_at)
        elif state is not None and state.intent.id == record.intent:
            state.outcome = state.outcome or record

    def _accept(self, intent: Intent, appended_at: float) -> None:
        validity_seconds = intent.expires_at - appended_at
        if 0 < validity_seconds <= self._max_validity_seconds:
            self._by_key[intent.key] = IdempotencyKeyState(intent)

    def _prune(self, now: float) -> None:
        if now - self._pruned_at < PRUNE_INTERVAL_SECONDS:
            return
        self._pruned_at = now
        expired_keys = [
            k for k, s in self._by_key.items() if s.intent.expires_at <= now
        ]
        for key in expired_keys:
            del self._by_key[key]
