"""Ensure that a non-idempotent request runs at most once per idempotency key."""

import asyncio
import hashlib
from dataclasses import dataclass
from time import time

from baobablane.dispatch import WorkRequest
from baobablane.errors import Outcome, RejectedError, ResultCode, describe, outcome_of
from baobablane.journal import (
    IdempotencyKeyState,
    Intent,
    RecordedOutcome,
    encode_record,
)
from baobablane_platform import JOURNAL_STREAM

from ._caller_messages import CallerAnswer, CallerRequest
from ._engine import Engine

MAX_RECORDED_BODY_BYTES = 4096
INTENT_TIMEOUT_SECONDS = 2.0
REWRITE_INTERVAL_SECONDS = 0.5
MAX_OUTCOME_WRITES = 20
CLAIMANT_CHECK_INTERVAL_SECONDS = 0.5
LOG_RETRY_AFTER_SECONDS = 5.0


@dataclass(slots=True)
class KeyClaim:
    """Track whether a request's intent has claimed its idempotency key."""

    intent: Intent
    is_recorded: bool = False
    # Set if another request claimed the key first.
    is_lost: bool = False


class AtMostOnce:
    """Guard requests with intents and outcomes in the journal stream."""

    def __init__(self, engine: Engine) -> None:
        """Read and write the journal through an engine."""
        self._engine = engine
        self._outcome_writes: set[asyncio.Task[None]] = set()

    def check_key(self, caller_request: CallerRequest) -> None:
        """Reject a request whose key can't be guarded.

        Raises RejectedError if the key or its expiry is missing, the expiry has
        passed or is more than half the log's retention ahead, or the journal is
        unavailable or not read to its end yet.
        """
        if not caller_request.idempotency_key or not caller_request.key_expires_at:
            detail = "Idempotency-Key and Idempotency-Expires are required"
            raise RejectedError(ResultCode.IDEMPOTENCY_KEY_MISSING, detail)
        seconds_left = caller_request.key_expires_at - time()
        if seconds_left <= 0:
            raise RejectedError(ResultCode.KEY_VALIDITY_PASSED)
        retention = self._engine.settings.platform.log_retention_seconds
        if seconds_left > retention / 2:
            detail = f"Idempotency-Expires is more than {retention / 2:.0f} s ahead"
            raise RejectedError(ResultCode.BAD_REQUEST, detail)
        if self._engine.is_journal_failing:
            raise RejectedError(ResultCode.LOG_UNAVAILABLE, "", LOG_RETRY_AFTER_SECONDS)
        if not self._engine.is_journal_read:
            raise RejectedError(ResultCode.NOT_READY, "", LOG_RETRY_AFTER_SECONDS)

    async def claim_key(
        self, request: WorkRequest, caller_request: CallerRequest
    ) -> KeyClaim | CallerAnswer:
        """Return a new claim on the key, or the final answer if it is already in use.

        The answer is KEY_REUSED if the key was used with another body, otherwise that
        of `await_outcome`.
        """
        intent = Intent(
            id=f"{request.id}.intent",
            key=_scoped_key(request, caller_request),
            fingerprint=hashlib.sha256(caller_request.body).hexdigest()[:32],
            owner=self._engine.incarnation,
            expires_at=caller_request.key_expires_at,
        )
        key_state = self._engine.journal.get(intent.key)
        if key_state is None or key_state.is_reusable:
            return KeyClaim(intent)
        if key_state.intent.fingerprint != intent.fingerprint:
            return CallerAnswer(caller_request.request, ResultCode.KEY_REUSED)
        return await self.await_outcome(request, caller_request)

    async def record_intent(
        self, key_claim: KeyClaim, request: WorkRequest, engine: Engine
    ) -> bool:
        """Write the intent and return whether it was read back as the key's first.

        Rewrites it until it is read back, but at most until the request's deadline or
        for INTENT_TIMEOUT_SECONDS. If it is not read back by then, writes a tombstone
        that marks the intent as not run, and returns False.
        """
        if key_claim.is_recorded:
            return True
        payload = encode_record(key_claim.intent)
        times_out_at = min(request.deadline_at, engine.now() + INTENT_TIMEOUT_SECONDS)
        while engine.now() < times_out_at:
            engine.write(JOURNAL_STREAM, payload)
            seconds = min(REWRITE_INTERVAL_SECONDS, times_out_at - engine.now())
            is_first = await engine.journal_reads.wait(key_claim.intent.id, seconds)
            if is_first is not None:
                key_claim.is_recorded = is_first
                key_claim.is_lost = not is_first
                return is_first
        engine.tombstone_intent(key_claim.intent)
        return False

    async def await_outcome(
        self, request: WorkRequest, caller_request: CallerRequest
    ) -> CallerAnswer:
        """Wait for the recorded outcome of a key and return the answer.

        Without an outcome by the deadline, or once the member that claimed the key is
        no longer active, the answer is ALREADY_ATTEMPTED. It is KEY_VALIDITY_PASSED if
        the journal no longer has the key.
        """
        engine = self._engine
        key = _scoped_key(request, caller_request)
        key_state = engine.journal.get(key)
        if key_state is None:
            return CallerAnswer(caller_request.request, ResultCode.KEY_VALIDITY_PASSED)
        outcome = key_state.outcome
        while outcome is None and self._is_claimant_active(key_state):
            seconds = request.deadline_at - engine.now()
            if seconds <= 0:
                break
            seconds = min(seconds, CLAIMANT_CHECK_INTERVAL_SECONDS)
            outcome = await engine.outcomes.wait(key, seconds)
        if outcome is None:
            return CallerAnswer(caller_request.request, ResultCode.ALREADY_ATTEMPTED)
        return _recorded_answer(caller_request.request, outcome)

    def record_outcome(self, key_claim: KeyClaim, answer: CallerAnswer) -> None:
        """Start to write the outcome of a request if its intent was recorded."""
        if not key_claim.is_recorded:
            return
        body = answer.body if len(answer.body) <= MAX_RECORDED_BODY_BYTES else None
        outcome = RecordedOutcome(
            f"{key_claim.intent.id}.outcome",
            key_claim.intent.key,
            key_claim.intent.id,
            int(answer.code),
            answer.status,
            answer.content_type,
            body,
        )
        task = asyncio.create_task(self._write_outcome(outcome))
        self._outcome_writes.add(task)
        task.add_done_callback(self._outcome_writes.discard)

    async def flush(self) -> None:
        """Wait until all outcome writes in progress have ended."""
        if self._outcome_writes:
            await asyncio.wait(set(self._outcome_writes))

    async def _write_outcome(self, outcome: RecordedOutcome) -> None:
        for _ in range(MAX_OUTCOME_WRITES):
            self._engine.write(JOURNAL_STREAM, encode_record(outcome))
            confirmed = await self._engine.outcomes.wait(
                outcome.key, REWRITE_INTERVAL_SECONDS
            )
            if confirmed is not None:
                return

    def _is_claimant_active(self, key_state: IdempotencyKeyState) -> bool:
        return self._engine.cluster.state.is_active(key_state.intent.owner)


def _scoped_key(request: WorkRequest, caller_request: CallerRequest) -> str:
    text = f"{request.team}\n{request.queue.name}\n{caller_request.idempotency_key}"
    return hashlib.sha256(text.encode()).hexdigest()[:32]


def _recorded_answer(name: str, outcome: RecordedOutcome) -> CallerAnswer:
    code = ResultCode(outcome.code)
    if outcome_of(code) is Outcome.DONE and outcome.body is None:
        detail = "done; the answer was too large to keep"
        return CallerAnswer(name, ResultCode.ANSWER_NOT_KEPT, detail=detail)
    return CallerAnswer(
        name,
        code,
        outcome.status,
        outcome.content_type,
        outcome.body or b"",
        detail=describe(code).title,
    )
