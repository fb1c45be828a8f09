"""Serve a caller's request from its key to its final answer."""

from baobablane.config import Instance, Queue
from baobablane.dispatch import (
    OPEN_TEAM,
    AttemptResult,
    Finish,
    Reason,
    Start,
    Step,
    Wait,
    WorkRequest,
)
from baobablane.errors import RefusedError, ResultCode, describe
from baobablane.keys import matches, parse_client_key
from yarl import URL

from ..tasks import Decision, UpstreamAnswer, UpstreamCall, UpstreamClient
from ._at_most_once import AtMostOnce, Claimed
from ._call import CallAnswer, CallOrder
from ._engine import Engine

VIEW_RETRY_SECONDS = 2.0
LEAST_ATTEMPT_SECONDS = 0.001

CODES_BY_RESULT = {
    AttemptResult.DONE: ResultCode.DONE,
    AttemptResult.FAILED: ResultCode.UPSTREAM_FAILED,
    AttemptResult.FULL: ResultCode.NOT_STARTED,
    AttemptResult.NOT_SENT: ResultCode.NOT_STARTED,
    AttemptResult.NOT_RECORDED: ResultCode.LOG_UNAVAILABLE,
    AttemptResult.CONNECTION_LOST: ResultCode.CONNECTION_LOST,
    AttemptResult.TIMEOUT: ResultCode.TIMEOUT,
    AttemptResult.CROSSED: ResultCode.ANSWER_CROSSED,
    AttemptResult.TRUNCATED: ResultCode.ANSWER_TRUNCATED,
    AttemptResult.CANCELLED: ResultCode.CANCELLED_RUNNING,
}


class CallServer:
    """Hold what is needed to serve callers."""

    def __init__(self, engine: Engine, upstreams: UpstreamClient) -> None:
        """Serve from an engine's state through a client to upstreams."""
        self._engine = engine
        self._upstreams = upstreams
        self._at_most_once = AtMostOnce(engine)
        self._urls: dict[tuple[str, int], URL] = {}

    async def serve(self, order: CallOrder) -> CallAnswer:
        """Return the final answer to a request."""
        try:
            queue, team = self._admit(order)
        except RefusedError as refused:
            return self._refusal(order, refused)
        request = self._make_request(order, queue, team)
        if queue.idempotent:
            answer = await self._run(request, order, None)
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
            raise RefusedError(ResultCode.STOPPING, "", VIEW_RETRY_SECONDS)
        if engine.view.revision < 0:
            raise RefusedError(ResultCode.NOT_READY, "", VIEW_RETRY_SECONDS)
        queue = engine.view.queues_by_name.get(order.queue)
        if queue is None:
            raise RefusedError(ResultCode.UNKNOWN_QUEUE, f"no queue {order.queue!r}")
        if not engine.may_run_team_work():
            raise RefusedError(ResultCode.VIEW_NOT_CONFIRMED, "", VIEW_RETRY_SECONDS)
        team = self._identify(order, queue)
        if not queue.idempotent:
            self._at_most_once.check(order)
        return queue, team

    def _identify(self, order: CallOrder, queue: Queue) -> str:
        if not order.key:
            if queue.open:
                return OPEN_TEAM
            raise RefusedError(ResultCode.KEY_MISSING)
        presented = parse_client_key(order.key)
        view = self._engine.view
        key = None if presented is None else view.keys_by_id.get(presented.id)
        if presented is None or key is None or not matches(key, presented):
            raise RefusedError(ResultCode.KEY_REFUSED)
        pool = view.pools_by_name[view.pool_of_queue(queue)]
        if not queue.open and key.team not in pool.teams:
            detail = f"team {key.team} may not use queue {queue.name}"
            raise RefusedError(ResultCode.TEAM_NOT_ALLOWED, detail)
        return key.team

    def _make_request(self, order: CallOrder, queue: Queue, team: str) -> WorkRequest:
        seconds = queue.deadline_seconds
        if order.deadline_seconds is not None:
            seconds = min(seconds, order.deadline_seconds)
        return WorkRequest(
            id=order.request,
            team=team,
            queue=queue,
            pool=self._engine.view.pool_of_queue(queue),
            arrived_at=order.arrived_at,
            deadline_at=order.arrived_at + seconds,
        )

    async def _run_once(self, request: WorkRequest, order: CallOrder) -> CallAnswer:
        claimed = await self._at_most_once.claim(request, order)
        if isinstance(claimed, CallAnswer):
            self._log(request, Reason.ANSWERED, claimed.code)
            return claimed
        answer = await self._run(request, order, claimed)
        if answer.code is ResultCode.ALREADY_ATTEMPTED:
            # Another request took the key first: its outcome is the answer.
            return await self._at_most_once.await_outcome(request, order)
        self._at_most_once.settle(claimed, answer)
        return answer

    async def _run(
        self, request: WorkRequest, order: CallOrder, claimed: Claimed | None
    ) -> CallAnswer:
        engine = self._engine
        step: Step = engine.dispatcher.submit(request, engine.now())
        answer = UpstreamAnswer(AttemptResult.NOT_SENT)
        while True:
            match step:
                case Start():
                    answer = await self._attempt(request, order, step, claimed)
                    step = engine.dispatcher.answered(
                        step.attempt, answer.result, engine.now()
                    )
                    engine.pump()
                case Wait():
                    step = await self._wait(request, step)
                case Finish():
                    return self._finish(request, step, answer, claimed)

    async def _wait(self, request: WorkRequest, step: Wait) -> Step:
        engine = self._engine
        engine.pump_soon()
        started = await engine.starts.wait(request.id, step.start_by - engine.now())
        if started is not None:
            return started
        code = ResultCode.DEADLINE_PASSED
        given_up = engine.dispatcher.abandon(request.id, code, Reason.DEADLINE)
        return given_up or Finish(code, Reason.DEADLINE)

    async def _attempt(
        self,
        request: WorkRequest,
        order: CallOrder,
        start: Start,
        claimed: Claimed | None,
    ) -> UpstreamAnswer:
        engine = self._engine
        started_at = engine.now()
        if claimed is not None and not await self._at_most_once.record(
            claimed, request, engine
        ):
            answer = UpstreamAnswer(AttemptResult.NOT_RECORDED)
        elif not engine.may_run_team_work():
            # The view may have lapsed while the request or this process paused.
            answer = UpstreamAnswer(AttemptResult.NOT_RECORDED)
        else:
            answer = await self._send(request, order, start)
        engine.decisions.write(
            Decision(
                "routed",
                request.id,
                start.attempt.id,
                request.team,
                request.queue.name,
                start.attempt.upstream,
                start.zone,
                start.reason,
                int(CODES_BY_RESULT[answer.result]),
                seconds=round(engine.now() - started_at, 6),
            )
        )
        return answer

    async def _send(
        self, request: WorkRequest, order: CallOrder, start: Start
    ) -> UpstreamAnswer:
        engine = self._engine
        seconds = request.deadline_at - engine.now()
        upstream = engine.view.instances_by_id.get(start.attempt.upstream)
        if upstream is None or seconds < LEAST_ATTEMPT_SECONDS:
            return UpstreamAnswer(AttemptResult.NOT_SENT)
        call = UpstreamCall(
            url=self._task_url(upstream),
            attempt=start.attempt.id,
            team=request.team,
            idempotency_key=order.idempotency_key,
            content_type=order.content_type,
            body=order.body,
            seconds=seconds,
        )
        return await self._upstreams.send(call)

    def _task_url(self, upstream: Instance) -> URL:
        address = (upstream.host, upstream.port)
        url = self._urls.get(address)
        if url is None:
            url = URL.build(
                scheme="http", host=address[0], port=address[1], path="/v1/tasks"
            )
            self._urls[address] = url
        return url

    def _finish(
        self,
        request: WorkRequest,
        step: Finish,
        answer: UpstreamAnswer,
        claimed: Claimed | None,
    ) -> CallAnswer:
        code = step.code
        if claimed is not None and claimed.lost:
            code = ResultCode.ALREADY_ATTEMPTED
        if not request.upstream or step.reason is not Reason.ANSWERED:
            self._log(request, step.reason, code)
        if code is ResultCode.DONE:
            return CallAnswer(
                request.id, code, answer.status, answer.content_type, answer.body
            )
        return CallAnswer(
            request.id,
            code,
            retry_after_seconds=step.retry_after_seconds,
            detail=describe(code).title,
        )

    def _log(self, request: WorkRequest, reason: Reason, code: ResultCode) -> None:
        engine = self._engine
        engine.decisions.write(
            Decision(
                "finished",
                request.id,
                team=request.team,
                queue=request.queue.name,
                upstream=request.upstream,
                reason=reason,
                result=int(code),
                seconds=round(engine.now() - request.arrived_at, 6),
            )
        )

    def _refusal(self, order: CallOrder, refused: RefusedError) -> CallAnswer:
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
