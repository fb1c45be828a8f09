"""Admit a caller's request and answer it."""

from baobablane.config import Key, Queue
from baobablane.dispatch import OPEN_TEAM, Reason, WorkRequest
from baobablane.errors import RejectedError, ResultCode, describe
from baobablane.keys import parse_client_key, verify_client_key

from ..tasks import Decision
from ._at_most_once import AtMostOnce
from ._call import CallAnswer, CallOrder
from ._deferred import DeferredJobs
from ._engine import Engine
from ._run import RequestRunner

VIEW_RETRY_SECONDS = 2.0


class CallServer:
    """Hold what is needed to serve callers."""

    def __init__(
        self,
        engine: Engine,
        runner: RequestRunner,
        at_most_once: AtMostOnce,
        jobs: DeferredJobs,
    ) -> None:
        """Serve from an engine's state."""
        self._engine = engine
        self._runner = runner
        self._at_most_once = at_most_once
        self._jobs = jobs

    async def serve(self, order: CallOrder) -> CallAnswer:
        """Return the final answer to a request."""
        try:
            queue, team = self._admit(order)
            if order.is_deferred:
                return await self._jobs.accept(order, queue, team)
        except RejectedError as refused:
            return self._refusal(order, refused)
        request = self._make_request(order, queue, team)
        if queue.idempotent:
            answer = await self._runner.run(request, order, None)
        else:
            answer = await self._run_once(request, order)
        self._engine.count_result(queue.service, answer.code)
        return answer

    async def flush(self) -> None:
        """Wait until the outcomes under way are in the log."""
        await self._at_most_once.flush()

    def _admit(self, order: CallOrder) -> tuple[Queue, str]:
        engine = self._engine
        if engine.stopping:
            raise RejectedError(ResultCode.STOPPING, "", VIEW_RETRY_SECONDS)
        if engine.view.revision < 0:
            raise RejectedError(ResultCode.NOT_READY, "", VIEW_RETRY_SECONDS)
        queue = engine.view.queues_by_name.get(order.queue)
        if queue is None:
            raise RejectedError(ResultCode.UNKNOWN_QUEUE, f"no queue {order.queue!r}")
        if not engine.may_run_team_work():
            raise RejectedError(ResultCode.VIEW_NOT_CONFIRMED, "", VIEW_RETRY_SECONDS)
        team = self._identify(order, queue)
        if not queue.idempotent and not order.is_deferred:
            self._at_most_once.check(order)
        return queue, team

    def _identify(self, order: CallOrder, queue: Queue) -> str:
        key = self._find_key(order)
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

    def _find_key(self, order: CallOrder) -> Key | None:
        if not order.key:
            return None
        presented = parse_client_key(order.key)
        key = self._engine.view.keys_by_id.get(presented.id) if presented else None
        if presented is None or key is None or not verify_client_key(key, presented):
            raise RejectedError(ResultCode.KEY_REFUSED)
        return key

    def _make_request(self, order: CallOrder, queue: Queue, team: str) -> WorkRequest:
        seconds = queue.deadline_seconds
        if order.deadline_seconds is not None:
            seconds = min(seconds, order.deadline_seconds)
        return WorkRequest(
            id=order.work_id,
            team=team,
            queue=queue,
            pool=self._engine.view.pool_of_queue(queue),
            arrived_at=order.arrived_at,
            deadline_at=order.arrived_at + seconds,
        )

    async def _run_once(self, request: WorkRequest, order: CallOrder) -> CallAnswer:
        claimed = await self._at_most_once.claim(request, order)
        if isinstance(claimed, CallAnswer):
            self._runner.log_end(request, Reason.ANSWERED, claimed.code)
            return claimed
        answer = await self._runner.run(request, order, claimed)
        if answer.code is ResultCode.ALREADY_ATTEMPTED:
            # Another request took the key first: its outcome is the answer.
            return await self._at_most_once.await_outcome(request, order)
        self._at_most_once.settle(claimed, answer)
        return answer

    def find_job(self, order: CallOrder) -> CallAnswer:
        """Return the outcome of a team's deferred job, or that it waits."""
        try:
            team = self._team_of(order)
        except RejectedError as refused:
            return self._refusal(order, refused)
        job = self._jobs.find(team, order.request)
        if job is None:
            return CallAnswer(order.request, ResultCode.UNKNOWN_REQUEST)
        done = job.finished
        if done is None:
            return CallAnswer(order.request, ResultCode.ACCEPTED)
        code = ResultCode(done.code)
        if code is ResultCode.DONE and done.body is None:
            detail = "done; the answer was too large to keep"
            return CallAnswer(order.request, ResultCode.ANSWER_NOT_KEPT, detail=detail)
        return CallAnswer(
            order.request,
            code,
            done.status,
            done.content_type,
            done.body or b"",
            detail=describe(code).title,
        )

    def cancel(self, order: CallOrder) -> CallAnswer:
        """End a team's request here, or ask the other entry instances to."""
        try:
            team = self._team_of(order)
        except RejectedError as refused:
            return self._refusal(order, refused)
        if not self._runner.cancel(order.request, team):
            self._engine.peers.send_cancel(order.request, team)
        return CallAnswer(order.request, ResultCode.CANCEL_PASSED_ON)

    def cancel_for_peer(self, request: str, team: str) -> None:
        """End a request that a caller cancelled at another entry instance."""
        self._runner.cancel(request, team)

    def _team_of(self, order: CallOrder) -> str:
        if not self._engine.may_run_team_work():
            raise RejectedError(ResultCode.VIEW_NOT_CONFIRMED, "", VIEW_RETRY_SECONDS)
        key = self._find_key(order)
        return OPEN_TEAM if key is None else key.team

    def _refusal(self, order: CallOrder, refused: RejectedError) -> CallAnswer:
        self._engine.decisions.write(
            Decision(
                "refused",
                order.request,
                queue=order.queue,
                reason=refused.detail,
                result=int(refused.code),
            )
        )
        return CallAnswer(
            order.request,
            refused.code,
            retry_after_seconds=refused.retry_after_seconds,
            detail=refused.detail,
        )
