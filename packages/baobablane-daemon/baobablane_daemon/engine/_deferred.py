"""Accept deferred jobs, and run them when there is room."""

import asyncio
import itertools
from time import time

from baobablane.config import Queue
from baobablane.deferred import (
    Accepted,
    Claimed,
    DeferredJobState,
    DeferredJobTable,
    DeferredRecord,
    Finished,
    encode_record,
)
from baobablane.errors import Outcome, RejectedError, ResultCode, outcome_of
from baobablane_platform import DEFERRED_STREAM

from ..tasks import PageRead
from ._call import CallAnswer, CallOrder
from ._engine import Engine
from ._run import RequestRunner
from ._waiters import Waiters

ACCEPT_SECONDS = 3.0
REWRITE_SECONDS = 0.5
SCAN_SECONDS = 0.2
RERUN_SECONDS = 1.0
CARRY_SECONDS = 1.0
MOST_CLAIMS = 8
# Runs of an idempotent job whose results stay unknown.
MOST_RUNS = 5
LARGEST_KEPT_BODY_BYTES = 64_000


class DeferredJobs:
    """Hold the jobs of the log and those that this instance runs."""

    def __init__(self, engine: Engine, runner: RequestRunner) -> None:
        """Run jobs through an engine."""
        self._engine = engine
        self._runner = runner
        retention = engine.settings.platform.log_retention_seconds
        self.table = DeferredJobTable(retention)
        self._read: Waiters[bool] = Waiters()
        self._running: dict[str, asyncio.Task[None]] = {}
        self._carried_at = 0.0
        self._numbers = 0
        # Claims of this process that it has not run a job under.
        self._unused_claims: set[str] = set()

    def handle_page(self, read: PageRead) -> None:
        """Fold a page of the stream."""
        self.table.skip_to(read.page.first_offset)
        for record in self.table.feed(read.page.records):
            self._read.give(_wait_name(record), True)

    async def accept(self, order: CallOrder, queue: Queue, team: str) -> CallAnswer:
        """Keep a job in the log, or say that this is not certain."""
        if not queue.deferred:
            raise RejectedError(ResultCode.DEFERRED_NOT_ALLOWED)
        if len(order.body) > LARGEST_KEPT_BODY_BYTES:
            raise RejectedError(ResultCode.BODY_TOO_LARGE)
        job = job_name(team, order.request)
        record = Accepted(job, team, queue.name, order.content_type, order.body)
        held = self.table.get(job)
        if held is not None and held.accepted is not None:
            if held.accepted != record:
                raise RejectedError(ResultCode.KEY_REUSED)
            return CallAnswer(order.request, ResultCode.ACCEPTED)
        if await self._write(record, ACCEPT_SECONDS):
            return CallAnswer(order.request, ResultCode.ACCEPTED)
        return CallAnswer(
            order.request, ResultCode.ACCEPTANCE_UNKNOWN, retry_after_seconds=5.0
        )

    def find(self, team: str, request: str) -> DeferredJobState | None:
        """Return a team's job, None where the log keeps none of that name."""
        return self.table.get(job_name(team, request))

    async def run(self) -> None:
        """Claim and run jobs until cancelled."""
        while True:
            await asyncio.sleep(SCAN_SECONDS)
            if self._engine.may_run_team_work() and not self._engine.stopping:
                self._start_jobs()
                self._carry()

    def running(self) -> int:
        """Return how many jobs this instance runs."""
        return len(self._running)

    def _start_jobs(self) -> None:
        for name, job in list(self.table.unfinished()):
            if len(self._running) >= MOST_CLAIMS:
                return
            if name in self._running or not self._may_claim(job):
                continue
            self._running[name] = asyncio.create_task(self._run_job(name, job))

    def _may_claim(self, job: DeferredJobState) -> bool:
        assert job.accepted is not None
        view = self._engine.view
        queue = view.queues_by_name.get(job.accepted.queue)
        if queue is None:
            return False
        pool = self._engine.dispatcher.pools.get(view.pool_of_queue(queue))
        if pool is None or pool.running >= pool.budget:
            return False
        if job.claim is None or job.claim.owner == self._engine.incarnation:
            return True
        members = self._engine.cluster.state
        return not members.is_active(job.claim.owner)

    async def _run_job(self, name: str, job: DeferredJobState) -> None:
        try:
            await self._run_claimed(name, job)
        finally:
            del self._running[name]

    async def _run_claimed(self, name: str, job: DeferredJobState) -> None:
        assert job.accepted is not None
        queue = self._engine.view.queues_by_name[job.accepted.queue]
        unused = job.claim is not None and job.claim.id in self._unused_claims
        claimed_before = job.may_have_run or (job.claim is not None and not unused)
        if claimed_before and not queue.idempotent:
            # The earlier claimant may have run it, and nobody may run it again.
            await self._finish(name, CallAnswer(name, ResultCode.ALREADY_ATTEMPTED))
            return
        if not await self._claim(name, job):
            return
        for run in itertools.count(1):
            if job.finished is not None:
                return
            answer = await self._runner.run_deferred(name, job.accepted, queue)
            outcome = outcome_of(answer.code)
            is_repeatable = queue.idempotent and run < MOST_RUNS
            if outcome is Outcome.NOT_RUN or (
                outcome is Outcome.UNKNOWN and is_repeatable
            ):
                await asyncio.sleep(max(RERUN_SECONDS, answer.retry_after_seconds))
                continue
            await self._finish(name, answer)
            return

    async def _claim(self, name: str, job: DeferredJobState) -> bool:
        held = job.claim
        if held is not None and held.owner == self._engine.incarnation:
            self._unused_claims.discard(held.id)
            return True
        self._numbers += 1
        claim = Claimed(
            f"{self._engine.incarnation}.{self._numbers}",
            name,
            self._engine.incarnation,
            "" if held is None else held.id,
        )
        self._unused_claims.add(claim.id)
        await self._write(claim, ACCEPT_SECONDS)
        if job.claim is None or job.claim.id != claim.id:
            return False
        self._unused_claims.discard(claim.id)
        return True

    async def _finish(self, name: str, answer: CallAnswer) -> None:
        record = Finished(
            name,
            int(answer.code),
            answer.status,
            answer.content_type,
            answer.body if len(answer.body) <= LARGEST_KEPT_BODY_BYTES else None,
        )
        while not await self._write(record, ACCEPT_SECONDS):
            await asyncio.sleep(RERUN_SECONDS)

    async def _write(self, record: DeferredRecord, seconds: float) -> bool:
        payload = encode_record(record)
        give_up_at = self._engine.now() + seconds
        while (left := give_up_at - self._engine.now()) > 0:
            self._engine.write(DEFERRED_STREAM, payload)
            name = _wait_name(record)
            if await self._read.wait(name, min(left, REWRITE_SECONDS)):
                return True
        return False

    def _carry(self) -> None:
        wall = time()
        if wall - self._carried_at < CARRY_SECONDS:
            return
        self._carried_at = wall
        self.table.remove_expired(wall)
        engine = self._engine
        if not engine.cluster.is_coordinator(engine.now()):
            return
        for record in self.table.due_copies(wall):
            engine.write(DEFERRED_STREAM, encode_record(record))


def job_name(team: str, request: str) -> str:
    """Return the name of a team's job in the log."""
    return f"{team}/{request}"


def _wait_name(record: DeferredRecord) -> str:
    match record:
        case Accepted():
            return f"accepted {record.job}"
        case Claimed():
            return f"claimed {record.id}"
        case Finished():
            return f"finished {record.job}"
        case _:
            return ""
