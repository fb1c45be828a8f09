"""Accept deferred jobs, and run them when their pool has capacity."""

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
from ._caller_messages import CallerAnswer, CallerRequest
from ._engine import Engine
from ._request_runner import RequestRunner
from ._waiters import Waiters

WRITE_TIMEOUT_SECONDS = 3.0
REWRITE_INTERVAL_SECONDS = 0.5
SCAN_INTERVAL_SECONDS = 0.2
RETRY_DELAY_SECONDS = 1.0
# Interval of checks for expired jobs, and for unfinished jobs whose records must be
# copied to the end of the log before they expire.
EXPIRY_CHECK_INTERVAL_SECONDS = 1.0
MAX_RUNNING_JOBS = 8
# Attempts after which an idempotent job with an unknown outcome is not repeated. An
# attempt that certainly didn't run the job counts, but is always repeated.
MAX_RUNS = 5
MAX_STORED_BODY_BYTES = 64_000


class DeferredJobs:
    """Manage the deferred jobs in the log and run those claimed here."""

    def __init__(self, engine: Engine, runner: RequestRunner) -> None:
        """Run jobs with a runner, on an engine's state."""
        self._engine = engine
        self._runner = runner
        retention = engine.settings.platform.log_retention_seconds
        self.table = DeferredJobTable(retention)
        self._read_back: Waiters[bool] = Waiters()
        self._running: dict[str, asyncio.Task[None]] = {}
        self._expiry_checked_at = 0.0
        self._claims_made = 0
        # IDs of this process's claims under which no job has run yet.
        self._unused_claims: set[str] = set()

    def handle_page(self, read: PageRead) -> None:
        """Fold a page of the deferred-job stream."""
        self.table.skip_to(read.page.first_offset)
        for record in self.table.feed(read.page.records):
            self._read_back.resolve(_read_back_key(record), True)

    async def accept(
        self, caller_request: CallerRequest, queue: Queue, team: str
    ) -> CallerAnswer:
        """Store a job in the log and return whether this was confirmed.

        The answer's code is ACCEPTED, or ACCEPTANCE_UNKNOWN if the record was not read
        back in time. Raises RejectedError if the queue takes no deferred jobs, the body
        is too large or another job has the name.
        """
        if not queue.deferred:
            raise RejectedError(ResultCode.DEFERRED_NOT_ALLOWED)
        if len(caller_request.body) > MAX_STORED_BODY_BYTES:
            raise RejectedError(ResultCode.BODY_TOO_LARGE)
        job = job_name(team, caller_request.request)
        record = Accepted(
            job, team, queue.name, caller_request.content_type, caller_request.body
        )
        existing = self.table.get(job)
        if existing is not None and existing.accepted is not None:
            if existing.accepted != record:
                raise RejectedError(ResultCode.KEY_REUSED)
            return CallerAnswer(caller_request.request, ResultCode.ACCEPTED)
        if await self._write(record, WRITE_TIMEOUT_SECONDS):
            return CallerAnswer(caller_request.request, ResultCode.ACCEPTED)
        return CallerAnswer(
            caller_request.request,
            ResultCode.ACCEPTANCE_UNKNOWN,
            retry_after_seconds=5.0,
        )

    def find(self, team: str, request: str) -> DeferredJobState | None:
        """Return a team's job, or None if the log has none of that name."""
        return self.table.get(job_name(team, request))

    async def run(self) -> None:
        """Claim and run jobs until cancelled."""
        while True:
            await asyncio.sleep(SCAN_INTERVAL_SECONDS)
            if self._engine.may_run_team_work() and not self._engine.is_stopping:
                self._start_jobs()
                self._remove_expired_and_copy_unfinished()

    def running_count(self) -> int:
        """Return the number of jobs that this instance runs."""
        return len(self._running)

    def _start_jobs(self) -> None:
        for name, job in list(self.table.unfinished()):
            if len(self._running) >= MAX_RUNNING_JOBS:
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
        is_unused = job.claim is not None and job.claim.id in self._unused_claims
        may_have_run = job.may_have_run or (job.claim is not None and not is_unused)
        if may_have_run and not queue.idempotent:
            # An earlier claimant may have run it, so a second run is not allowed.
            await self._finish(name, CallerAnswer(name, ResultCode.ALREADY_ATTEMPTED))
            return
        if not await self._claim(name, job):
            return
        for run in itertools.count(1):
            if job.finished is not None:
                return
            answer = await self._runner.run_deferred(name, job.accepted, queue)
            outcome = outcome_of(answer.code)
            is_repeatable = queue.idempotent and run < MAX_RUNS
            if outcome is Outcome.NOT_RUN or (
                outcome is Outcome.UNKNOWN and is_repeatable
            ):
                await asyncio.sleep(
                    max(RETRY_DELAY_SECONDS, answer.retry_after_seconds)
                )
                continue
            await self._finish(name, answer)
            return

    async def _claim(self, name: str, job: DeferredJobState) -> bool:
        existing = job.claim
        if existing is not None and existing.owner == self._engine.incarnation:
            self._unused_claims.discard(existing.id)
            return True
        self._claims_made += 1
        claim = Claimed(
            f"{self._engine.incarnation}.{self._claims_made}",
            name,
            self._engine.incarnation,
            "" if existing is None else existing.id,
        )
        self._unused_claims.add(claim.id)
        await self._write(claim, WRITE_TIMEOUT_SECONDS)
        if job.claim is None or job.claim.id != claim.id:
            return False
        self._unused_claims.discard(claim.id)
        return True

    async def _finish(self, name: str, answer: CallerAnswer) -> None:
        record = Finished(
            name,
            int(answer.code),
            answer.status,
            answer.content_type,
            answer.body if len(answer.body) <= MAX_STORED_BODY_BYTES else None,
        )
        while not await self._write(record, WRITE_TIMEOUT_SECONDS):
            await asyncio.sleep(RETRY_DELAY_SECONDS)

    async def _write(self, record: DeferredRecord, seconds: float) -> bool:
        payload = encode_record(record)
        times_out_at = self._engine.now() + seconds
        while (seconds_left := times_out_at - self._engine.now()) > 0:
            self._engine.write(DEFERRED_STREAM, payload)
            name = _read_back_key(record)
            if await self._read_back.wait(
                name, min(seconds_left, REWRITE_INTERVAL_SECONDS)
            ):
                return True
        return False

    def _remove_expired_and_copy_unfinished(self) -> None:
        unix_time = time()
        if unix_time - self._expiry_checked_at < EXPIRY_CHECK_INTERVAL_SECONDS:
            return
        self._expiry_checked_at = unix_time
        self.table.remove_expired(unix_time)
        engine = self._engine
        if not engine.cluster.is_coordinator(engine.now()):
            return
        for record in self.table.due_copies(unix_time):
            engine.write(DEFERRED_STREAM, encode_record(record))


def job_name(team: str, request: str) -> str:
    """Return the name under which the log stores a team's job."""
    return f"{team}/{request}"


def _read_back_key(record: DeferredRecord) -> str:
    match record:
        case Accepted():
            return f"accepted {record.job}"
        case Claimed():
            return f"claimed {record.id}"
        case Finished():
            return f"finished {record.job}"
        case _:
            return ""
