"""Run each non-idempotent request at most once."""

import asyncio
import hashlib
from dataclasses import dataclass
from time import time

from baobablane.dispatch import WorkRequest
from baobablane.errors import Outcome, RejectedError, ResultCode, describe, outcome_of
from baobablane.journal import Intent, KeyState, RecordedOutcome, encode_record
from baobablane_platform import JOURNAL_STREAM

from ._call import CallAnswer, CallOrder
from ._engine import Engine

LARGEST_RECORDED_BODY_BYTES = 4096
RECORD_SECONDS = 2.0
REWRITE_SECONDS = 0.5
OUTCOME_WRITES = 20
OWNER_CHECK_SECONDS = 0.5
LOG_RETRY_SECONDS = 5.0


@dataclass(slots=True)
class Claimed:
    """Hold the intent of a request that is about to run."""

    intent: Intent
    recorded: bool = False
    # Another request holds the key.
    lost: bool = False


class AtMostOnce:
    """Hold the requests that this instance runs under an idempotency key."""

    def __init__(self, engine: Engine) -> None:
        """Use the engine's journal."""
        self._engine = engine
        self._writes: set[asyncio.Task[None]] = set()

    def check(self, order: CallOrder) -> None:
        """Refuse a request whose key can't be guarded."""
        if not order.idempotency_key or not order.key_expires_at:
            detail = "Idempotency-Key and Idempotency-Expires are required"
            raise RejectedError(ResultCode.IDEMPOTENCY_KEY_MISSING, detail)
        left = order.key_expires_at - time()
        if left <= 0:
            raise RejectedError(ResultCode.KEY_VALIDITY_PASSED)
        retention = self._engine.settings.platform.log_retention_seconds
        if left > retention / 2:
            detail = f"Idempotency-Expires is more than {retention / 2:.0f} s ahead"
            raise RejectedError(ResultCode.BAD_REQUEST, detail)
        if self._engine.journal_is_failing:
            raise RejectedError(ResultCode.LOG_UNAVAILABLE, "", LOG_RETRY_SECONDS)
        if not self._engine.journal_is_read:
            raise RejectedError(ResultCode.NOT_READY, "", LOG_RETRY_SECONDS)

    async def claim(
        self, request: WorkRequest, order: CallOrder
    ) -> Claimed | CallAnswer:
        """Return an intent to record, or the answer of the key's first request."""
        intent = Intent(
            id=f"{request.id}.intent",
            key=_scoped_key(request, order),
            fingerprint=hashlib.sha256(order.body).hexdigest()[:32],
            owner=self._engine.incarnation,
            expires_at=order.key_expires_at,
        )
        held = self._engine.journal.get(intent.key)
        if held is None or held.is_reusable:
            return Claimed(intent)
        if held.intent.fingerprint != intent.fingerprint:
            return CallAnswer(order.request, ResultCode.KEY_REUSED)
        return await self.await_outcome(request, order)

    async def record(
        self, claimed: Claimed, request: WorkRequest, engine: Engine
    ) -> bool:
        """Return whether the intent was read back as the first of its key."""
        if claimed.recorded:
            return True
        payload = encode_record(claimed.intent)
        give_up_at = min(request.deadline_at, engine.now() + RECORD_SECONDS)
        while engine.now() < give_up_at:
            engine.write(JOURNAL_STREAM, payload)
            seconds = min(REWRITE_SECONDS, give_up_at - engine.now())
            first = await engine.journal_reads.wait(claimed.intent.id, seconds)
            if first is not None:
                claimed.recorded = first
                claimed.lost = not first
                return first
        engine.void(claimed.intent)
        return False

    async def await_outcome(self, request: WorkRequest, order: CallOrder) -> CallAnswer:
        """Return the recorded outcome of a key, or unknown by the deadline."""
        engine = self._engine
        key = _scoped_key(request, order)
        held = engine.journal.get(key)
        if held is None:
            return CallAnswer(order.request, ResultCode.KEY_VALIDITY_PASSED)
        outcome = held.outcome
        while outcome is None and self._owner_lives(held):
            seconds = request.deadline_at - engine.now()
            if seconds <= 0:
                break
            seconds = min(seconds, OWNER_CHECK_SECONDS)
            outcome = await engine.outcomes.wait(key, seconds)
        if outcome is None:
            return CallAnswer(order.request, ResultCode.ALREADY_ATTEMPTED)
        return _answer_from(order.request, outcome)

    def settle(self, claimed: Claimed, answer: CallAnswer) -> None:
        """Record what became of a request whose intent stands."""
        if not claimed.recorded:
            return
        body = answer.body if len(answer.body) <= LARGEST_RECORDED_BODY_BYTES else None
        outcome = RecordedOutcome(
            f"{claimed.intent.id}.outcome",
            claimed.intent.key,
            claimed.intent.id,
            int(answer.code),
            answer.status,
            answer.content_type,
            body,
        )
        task = asyncio.create_task(self._write_outcome(outcome))
        self._writes.add(task)
        task.add_done_callback(self._writes.discard)

    async def flush(self) -> None:
        """Wait until the outcomes under way are read back."""
        if self._writes:
            await asyncio.wait(set(self._writes))

    async def _write_outcome(self, outcome: RecordedOutcome) -> None:
        for _ in range(OUTCOME_WRITES):
            self._engine.write(JOURNAL_STREAM, encode_record(outcome))
            read = await self._engine.outcomes.wait(outcome.key, REWRITE_SECONDS)
            if read is not None:
                return

    def _owner_lives(self, held: KeyState) -> bool:
        return self._engine.cluster.state.is_active(held.intent.owner)


def _scoped_key(request: WorkRequest, order: CallOrder) -> str:
    text = f"{request.team}\n{request.queue.name}\n{order.idempotency_key}"
    return hashlib.sha256(text.encode()).hexdigest()[:32]


def _answer_from(request_id: str, outcome: RecordedOutcome) -> CallAnswer:
    code = ResultCode(outcome.code)
    if outcome_of(code) is Outcome.DONE and outcome.body is None:
        detail = "done; the answer was too large to keep"
        return CallAnswer(request_id, ResultCode.ANSWER_NOT_KEPT, detail=detail)
    return CallAnswer(
        request_id,
        code,
        outcome.status,
        outcome.content_type,
        outcome.body or b"",
        detail=describe(code).title,
    )
