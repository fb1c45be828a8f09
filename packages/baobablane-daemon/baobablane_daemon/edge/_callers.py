"""Serve callers over HTTP."""

import math
import re

import msgspec
from baobablane.errors import Outcome, ResultCode, describe, outcome_of
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from ..engine import CallAnswer, CallOrder, CallServer, Engine

LARGEST_BODY_BYTES = 16_000_000
REQUEST_NAME = re.compile(r"^[A-Za-z0-9._-]{1,64}$")
BEARER = "bearer "


def make_callers_app(engine: Engine, server: CallServer) -> Starlette:
    """Return the application on the callers' port."""

    async def submit(request: Request) -> Response:
        arrived_at = engine.now()
        order = await _read_order(request, engine, arrived_at)
        if isinstance(order, CallAnswer):
            return to_response(order)
        return to_response(await server.serve(order))

    return Starlette(
        routes=[Route("/v1/queues/{queue}/requests", submit, methods=["POST"])]
    )


async def _read_order(
    request: Request, engine: Engine, arrived_at: float
) -> CallOrder | CallAnswer:
    headers = request.headers
    name = headers.get("baobablane-request") or engine.new_request_id()
    if not REQUEST_NAME.match(name):
        return _bad("", f"Baobablane-Request {name[:64]!r} is malformed")
    if int(headers.get("content-length") or 0) > LARGEST_BODY_BYTES:
        return CallAnswer(name, ResultCode.BODY_TOO_LARGE)
    try:
        deadline = _positive(headers.get("baobablane-deadline-seconds"))
        expires = _positive(headers.get("idempotency-expires"))
    except ValueError as error:
        return _bad(name, str(error))
    authorization = headers.get("authorization", "")
    if authorization and not authorization.lower().startswith(BEARER):
        return _bad(name, "Authorization must be a Bearer key")
    body = await request.body()
    if len(body) > LARGEST_BODY_BYTES:
        return CallAnswer(name, ResultCode.BODY_TOO_LARGE)
    return CallOrder(
        request=name,
        queue=request.path_params["queue"],
        key=authorization[len(BEARER) :],
        deadline_seconds=deadline,
        idempotency_key=headers.get("idempotency-key", ""),
        key_expires_at=expires or 0.0,
        content_type=headers.get("content-type", "application/octet-stream"),
        body=body,
        arrived_at=arrived_at,
    )


def _positive(text: str | None) -> float | None:
    if text is None:
        return None
    value = float(text)
    if not math.isfinite(value) or value <= 0:
        raise ValueError(f"{text!r} is not a positive number of seconds")
    return value


def _bad(name: str, detail: str) -> CallAnswer:
    return CallAnswer(name, ResultCode.BAD_REQUEST, detail=detail)


def to_response(answer: CallAnswer) -> Response:
    """Return the HTTP form of an answer; problem details for all but whole ones."""
    code = answer.code
    headers = {
        "Baobablane-Result": str(int(code)),
        "Baobablane-Outcome": outcome_of(code).value,
        "Baobablane-Request": answer.request,
    }
    if outcome_of(code) is Outcome.DONE:
        headers["Content-Type"] = answer.content_type
        return Response(answer.body, answer.status, headers)
    described = describe(code)
    if described.retryable:
        headers["Retry-After"] = str(max(1, math.ceil(answer.retry_after_seconds)))
    problem = {
        "type": f"urn:baobablane:result:{int(code)}",
        "title": described.title,
        "status": described.status,
        "detail": answer.detail or described.title,
        "code": int(code),
        "outcome": outcome_of(code).value,
        "request": answer.request,
    }
    return Response(
        msgspec.json.encode(problem),
        described.status,
        headers,
        media_type="application/problem+json",
    )
