"""Run requests from their arrival to their final answer."""

import asyncio

from baobablane.config import Instance, Queue
from baobablane.deferred import Accepted
from baobablane.dispatch import (
    RENEWALS_PER_LEASE,
    TASK_LEASE_SECONDS,
    AttemptResult,
    Finish,
    Reason,
    RequestStep,
    Start,
    Wait,
    WorkRequest,
)
from baobablane.errors import ResultCode, describe
from yarl import URL

from ..decision_log import Decision
from ..tasks import UpstreamCall, UpstreamClient, UpstreamResponse
from ._at_most_once import AtMostOnce, KeyClaim
from ._caller_messages import CallerAnswer, CallerRequest
from ._engine import Engine

MIN_ATTEMPT_SECONDS = 0.001

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


class RequestRunner:
    """Run requests and track those in progress."""

    def __init__(
        self, engine: Engine, upstreams: UpstreamClient, at_most_once: AtMostOnce
    ) -> None:
        """Follow an engine's dispatcher and send attempts with `upstreams`."""
        self._engine = engine
        self._upstreams = upstreams
        self._at_most_once = at_most_once
        self._urls: dict[tuple[str, int], URL] = {}
        self._sending_tasks: dict[str, asyncio.Task[object]] = {}
        self._cancelled: set[str] = set()
        self._ids_by_name: dict[tuple[str, str], str] = {}

    async def run(
        self,
        request: WorkRequest,
        caller_request: CallerRequest,
        key_claim: KeyClaim | None,
    ) -> CallerAnswer:
        """Run a request and return its final answer."""
        name = (request.team, caller_request.request)
        self._ids_by_name[name] = request.id
        try:
            return await self._run_to_end(request, caller_request, key_claim)
        finally:
            if self._ids_by_name.get(name) == request.id:
                del self._ids_by_name[name]

    async def _run_to_end(
        self,
        request: WorkRequest,
        caller_request: CallerRequest,
        key_claim: KeyClaim | None,
    ) -> CallerAnswer:
        engine = self._engine
        step: RequestStep = engine.dispatcher.submit(request, engine.now())
        response = UpstreamResponse(AttemptResult.NOT_SENT)
        while True:
            match step:
                case Start():
                    response = await self._attempt(
                        request, caller_request, step, key_claim
                    )
                    step = engine.dispatcher.handle_result(
                        step.attempt, response.result, engine.now()
                    )
                    engine.start_waiting()
                case Wait():
                    step = await self._wait(request, step)
                case Finish():
                    return self._finish(
                        request, caller_request, step, response, key_claim
                    )

    async def _wait(self, request: WorkRequest, step: Wait) -> RequestStep:
        engine = self._engine
        engine.start_waiting_soon()
        next_step = await engine.next_steps.wait(
            request.id, step.start_by - engine.now()
        )
        if next_step is not None:
            return next_step
        code = ResultCode.DEADLINE_PASSED
        abandoned = engine.dispatcher.abandon(request.id, code, Reason.DEADLINE)
        return abandoned or Finish(code, Reason.DEADLINE)

    async def _attempt(
        self,
        request: WorkRequest,
        caller_request: CallerRequest,
        start: Start,
        key_claim: KeyClaim | None,
    ) -> UpstreamResponse:
        engine = self._engine
        started_at = engine.now()
        if key_claim is not None and not await self._at_most_once.record_intent(
            key_claim, request, engine
        ):
            response = UpstreamResponse(AttemptResult.NOT_RECORDED)
        elif not engine.may_run_team_work():
            # The view lease may have expired while the request waited or the process
            # was paused.
            response = UpstreamResponse(AttemptResult.NOT_RECORDED)
        else:
            response = await self._send(request, caller_request, start)
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
                int(CODES_BY_RESULT[response.result]),
                seconds=round(engine.now() - started_at, 6),
            )
        )
        return response

    async def _send(
        self, request: WorkRequest, caller_request: CallerRequest, start: Start
    ) -> UpstreamResponse:
        engine = self._engine
        seconds = request.deadline_at - engine.now()
        upstream = engine.view.instances_by_id.get(start.attempt.upstream)
        if upstream is None or seconds < MIN_ATTEMPT_SECONDS:
            return UpstreamResponse(AttemptResult.NOT_SENT)
        call = UpstreamCall(
            url=self._task_url(upstream),
            attempt=start.attempt.id,
            team=request.team,
            idempotency_key=caller_request.idempotency_key,
            content_type=caller_request.content_type,
            body=caller_request.body,
            seconds=seconds,
        )
        return await self._send_cancellable(request, call)

    async def _send_cancellable(
        self, request: WorkRequest, call: UpstreamCall
    ) -> UpstreamResponse:
        task = asyncio.current_task()
        assert task is not None
        self._sending_tasks[request.id] = task
        renewal = self._start_renewal(request, call)
        try:
            return await self._upstreams.send(call)
        except asyncio.CancelledError:
            if request.id not in self._cancelled:
                raise
            task.uncancel()
            await self._upstreams.stop(call.url, call.attempt)
            return UpstreamResponse(AttemptResult.CANCELLED)
        finally:
            if renewal is not None:
                renewal.cancel()
            self._cancelled.discard(request.id)
            del self._sending_tasks[request.id]

    def _start_renewal(
        self, request: WorkRequest, call: UpstreamCall
    ) -> "asyncio.Task[None] | None":
        if call.seconds <= TASK_LEASE_SECONDS:
            return None
        return asyncio.create_task(self._renew_lease(request, call))

    async def _renew_lease(self, request: WorkRequest, call: UpstreamCall) -> None:
        engine = self._engine
        while True:
            await asyncio.sleep(TASK_LEASE_SECONDS / RENEWALS_PER_LEASE)
            seconds_left = request.deadline_at - engine.now()
            if not self._may_renew(request) or seconds_left <= 0:
                continue
            seconds = min(seconds_left, TASK_LEASE_SECONDS)
            await self._upstreams.renew(call.url, call.attempt, seconds)

    def _may_renew(self, request: WorkRequest) -> bool:
        if request.escrow is None:
            return True
        # Units of an earlier incarnation may have passed to another member.
        current = self._engine.cluster.escrow
        return request.escrow is current and self._engine.may_run_team_work()

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
        caller_request: CallerRequest,
        step: Finish,
        response: UpstreamResponse,
        key_claim: KeyClaim | None,
    ) -> CallerAnswer:
        code = step.code
        if key_claim is not None and key_claim.is_lost:
            code = ResultCode.ALREADY_ATTEMPTED
        if not request.upstream or step.reason is not Reason.ANSWERED:
            self.log_finished(request, step.reason, code)
        if code is ResultCode.DONE:
            return CallerAnswer(
                caller_request.request,
                code,
                response.status,
                response.content_type,
                response.body,
            )
        return CallerAnswer(
            caller_request.request,
            code,
            retry_after_seconds=step.retry_after_seconds,
            detail=describe(code).title,
        )

    def log_finished(
        self, request: WorkRequest, reason: Reason, code: ResultCode
    ) -> None:
        """Log the end of a request that its attempts' log lines don't show."""
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

    async def run_deferred(
        self, name: str, accepted: Accepted, queue: Queue
    ) -> CallerAnswer:
        """Run a deferred job once and return its answer."""
        engine = self._engine
        now = engine.now()
        request = WorkRequest(
            id=f"{name.replace('/', '.')}.{engine.new_request_id()}",
            team=accepted.team,
            queue=queue,
            pool=engine.view.pool_of_queue(queue),
            arrived_at=now,
            deadline_at=now + queue.deadline_seconds,
        )
        caller_request = CallerRequest(
            request=request.id,
            request_id=request.id,
            queue=queue.name,
            key="",
            deadline_seconds=None,
            idempotency_key=name,
            key_expires_at=0.0,
            content_type=accepted.content_type,
            body=accepted.body,
            arrived_at=now,
        )
        return await self.run(request, caller_request, None)

    def cancel(self, name: str, team: str) -> bool:
        """Cancel a request and return whether it was waiting or being sent here."""
        engine = self._engine
        request_id = self._ids_by_name.get((team, name))
        if request_id is None:
            return False
        finish = engine.dispatcher.abandon(
            request_id, ResultCode.CANCELLED, Reason.CANCELLED
        )
        if finish is not None:
            return engine.next_steps.resolve(request_id, finish)
        sending_task = self._sending_tasks.get(request_id)
        if sending_task is None:
            return False
        self._cancelled.add(request_id)
        sending_task.cancel()
        return True
