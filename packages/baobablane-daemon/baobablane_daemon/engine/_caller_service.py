"""Admit callers' requests and answer them."""

from baobablane.config import Key, Queue
from baobablane.dispatch import OPEN_TEAM, Reason, WorkRequest
from baobablane.errors import RejectedError, ResultCode, describe
from baobablane.keys import parse_client_key, verify_client_key

from ..decision_log import Decision
from ._at_most_once import AtMostOnce
from ._caller_messages import CallerAnswer, CallerRequest
from ._deferred_jobs import DeferredJobs
from ._engine import Engine
from ._request_runner import RequestRunner

RETRY_AFTER_SECONDS = 2.0


class CallerService:
    """Authenticate, admit, run and cancel callers' requests."""

    def __init__(
        self,
        engine: Engine,
        runner: RequestRunner,
        at_most_once: AtMostOnce,
        jobs: DeferredJobs,
    ) -> None:
        """Admit requests on an engine's state, and run them with the other parts."""
        self._engine = engine
        self._runner = runner
        self._at_most_once = at_most_once
        self._jobs = jobs

    async def serve(self, caller_request: CallerRequest) -> CallerAnswer:
        """Serve a request and return its final answer."""
        try:
            queue, team = self._admit(caller_request)
            if caller_request.is_deferred:
                return await self._jobs.accept(caller_request, queue, team)
        except RejectedError as rejection:
            return self._reject(caller_request, rejection)
        request = self._make_request(caller_request, queue, team)
        if queue.idempotent:
            answer = await self._runner.run(request, caller_request, None)
        else:
            answer = await self._run_once(request, caller_request)
        self._engine.count_result(queue.service, answer.code)
        return answer

    async def flush(self) -> None:
        """Wait until all outcome writes in progress have ended."""
        await self._at_most_once.flush()

    def _admit(self, caller_request: CallerRequest) -> tuple[Queue, str]:
        engine = self._engine
        if engine.is_stopping:
            raise RejectedError(ResultCode.STOPPING, "", RETRY_AFTER_SECONDS)
        if engine.view.revision < 0:
            raise RejectedError(ResultCode.NOT_READY, "", RETRY_AFTER_SECONDS)
        queue = engine.view.queues_by_name.get(caller_request.queue)
        if queue is None:
            raise RejectedError(
                ResultCode.UNKNOWN_QUEUE, f"no queue {caller_request.queue!r}"
            )
        if not engine.may_run_team_work():
            raise RejectedError(ResultCode.VIEW_NOT_CONFIRMED, "", RETRY_AFTER_SECONDS)
        team = self._identify_team(caller_request, queue)
        if not queue.idempotent and not caller_request.is_deferred:
            self._at_most_once.check_key(caller_request)
        return queue, team

    def _identify_team(self, caller_request: CallerRequest, queue: Queue) -> str:
        key = self._find_key(caller_request)
        if key is None:
            if queue.open:
                return OPEN_TEAM
            raise RejectedError(ResultCode.KEY_MISSING)
        view = self._engine.view
        pool = view.pools_by_name[view.pool_of_queue(queue)]
        if not queue.open and key.team not in pool.teams:
            detail = f"team {key.team} may not use queue {queue.name}"
            raise RejectedError(ResultCode.TEAM_NOT_ALLOWED, detail)
        return key.team

    def _find_key(self, caller_request: CallerRequest) -> Key | None:
        if not caller_request.key:
            return None
        presented = parse_client_key(caller_request.key)
        key = self._engine.view.keys_by_id.get(presented.id) if presented else None
        if presented is None or key is None or not verify_client_key(key, presented):
            raise RejectedError(ResultCode.KEY_REFUSED)
        return key

    def _make_request(
        self, caller_request: CallerRequest, queue: Queue, team: str
    ) -> WorkRequest:
        seconds = queue.deadline_seconds
        if caller_request.deadline_seconds is not None:
            seconds = min(seconds, caller_request.deadline_seconds)
        return WorkRequest(
            id=caller_request.request_id,
            team=team,
            queue=queue,
            pool=self._engine.view.pool_of_queue(queue),
            arrived_at=caller_request.arrived_at,
            deadline_at=caller_request.arrived_at + seconds,
        )

    async def _run_once(
        self, request: WorkRequest, caller_request: CallerRequest
    ) -> CallerAnswer:
        key_claim = await self._at_most_once.claim_key(request, caller_request)
        if isinstance(key_claim, CallerAnswer):
            self._runner.log_finished(request, Reason.ANSWERED, key_claim.code)
            return key_claim
        answer = await self._runner.run(request, caller_request, key_claim)
        if answer.code is ResultCode.ALREADY_ATTEMPTED:
            # Another request claimed the key first, so its outcome is the answer.
            return await self._at_most_once.await_outcome(request, caller_request)
        self._at_most_once.record_outcome(key_claim, answer)
        return answer

    def find_job(self, caller_request: CallerRequest) -> CallerAnswer:
        """Return the outcome of a team's deferred job, or ACCEPTED if it is pending.

        The answer is UNKNOWN_REQUEST if the log has no such job.
        """
        try:
            team = self._team_of(caller_request)
        except RejectedError as rejection:
            return self._reject(caller_request, rejection)
        job = self._jobs.find(team, caller_request.request)
        if job is None:
            return CallerAnswer(caller_request.request, ResultCode.UNKNOWN_REQUEST)
        finished = job.finished
        if finished is None:
            return CallerAnswer(caller_request.request, ResultCode.ACCEPTED)
        code = ResultCode(finished.code)
        if code is ResultCode.DONE and finished.body is None:
            detail = "done; the answer was too large to keep"
            return CallerAnswer(
                caller_request.request, ResultCode.ANSWER_NOT_KEPT, detail=detail
            )
        return CallerAnswer(
            caller_request.request,
            code,
            finished.status,
            finished.content_type,
            finished.body or b"",
            detail=describe(code).title,
        )

    def cancel(self, caller_request: CallerRequest) -> CallerAnswer:
        """Cancel a team's request here, or forward the cancellation to all peers."""
        try:
            team = self._team_of(caller_request)
        except RejectedError as rejection:
            return self._reject(caller_request, rejection)
        if not self._runner.cancel(caller_request.request, team):
            self._engine.peers.send_cancel(caller_request.request, team)
        return CallerAnswer(caller_request.request, ResultCode.CANCEL_PASSED_ON)

    def cancel_for_peer(self, request: str, team: str) -> None:
        """Cancel a request on behalf of another entry instance."""
        self._runner.cancel(request, team)

    def _team_of(self, caller_request: CallerRequest) -> str:
        if not self._engine.may_run_team_work():
            raise RejectedError(ResultCode.VIEW_NOT_CONFIRMED, "", RETRY_AFTER_SECONDS)
        key = self._find_key(caller_request)
        return OPEN_TEAM if key is None else key.team

    def _reject(
        self, caller_request: CallerRequest, rejection: RejectedError
    ) -> CallerAnswer:
        self._engine.decisions.write(
            Decision(
                "refused",
                caller_request.request,
                queue=caller_request.queue,
                reason=rejection.detail,
                result=int(rejection.code),
            )
        )
        return CallerAnswer(
            caller_request.request,
            rejection.code,
            retry_after_seconds=rejection.retry_after_seconds,
            detail=rejection.detail,
        )
