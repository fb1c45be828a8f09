"""Serve the callers' HTTP API."""

import math
import re

import msgspec
from baobablane.errors import ResultCode, describe, outcome_of
from starlette.requests import ClientDisconnect, Request
from starlette.responses import Response
from starlette.routing import Route, Router
from starlette.types import Receive, Scope, Send

from ..decision_log import Decision
from ..engine import CallerAnswer, CallerRequest, CallerService, Engine

MAX_BODY_BYTES = 16_000_000
REQUEST_NAME_PATTERN = re.compile(r"^[A-Za-z0-9._-]{1,64}$")
BEARER_PREFIX = "bearer "
DEFAULT_CONTENT_TYPE = "application/octet-stream"


class SubmitEndpoint:
    """Serve the route for new requests as a plain ASGI application."""

    # Starlette wraps function endpoints; a plain application avoids that overhead.

    def __init__(self, engine: Engine, caller_service: CallerService) -> None:
        """Use an engine for times and IDs, and a service to run requests."""
        self._engine = engine
        self._caller_service = caller_service

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one HTTP request."""
        arrived_at = self._engine.now()
        try:
            request = await _read_request(scope, receive, self._engine, arrived_at)
        except ClientDisconnect:
            # Only a part of the body has arrived, and nobody reads a response.
            self._engine.decisions.write(
                Decision("body-broken-off", queue=scope["path_params"]["queue"])
            )
            return
        if isinstance(request, CallerRequest):
            answer = await self._caller_service.serve(request)
        else:
            answer = request
        if answer.code is ResultCode.DONE:
            await _send_done(answer, send)
        else:
            await to_response(answer)(scope, receive, send)


def make_callers_app(engine: Engine, caller_service: CallerService) -> Router:
    """Return the application that serves the callers' port."""

    async def find(request: Request) -> Response:
        return to_response(
            caller_service.find_job(_read_named_request(request, engine))
        )

    async def cancel(request: Request) -> Response:
        return to_response(caller_service.cancel(_read_named_request(request, engine)))

    submit = SubmitEndpoint(engine, caller_service)
    return Router(
        routes=[
            Route("/v1/queues/{queue}/requests", submit, methods=["POST"]),
            Route("/v1/requests/{name}", find, methods=["GET"]),
            Route("/v1/requests/{name}", cancel, methods=["DELETE"]),
        ]
    )


def _read_named_request(request: Request, engine: Engine) -> CallerRequest:
    authorization = request.headers.get("authorization", "")
    return CallerRequest(
        request=request.path_params["name"],
        request_id="",
        queue="",
        key=authorization[len(BEARER_PREFIX) :],
        deadline_seconds=None,
        idempotency_key="",
        key_expires_at=0.0,
        content_type="",
        body=b"",
        arrived_at=engine.now(),
    )


async def _read_request(
    scope: Scope, receive: Receive, engine: Engine, arrived_at: float
) -> CallerRequest | CallerAnswer:
    headers: dict[bytes, bytes] = dict(scope["headers"])
    request_id = engine.new_request_id()
    name = _header_text(headers, b"baobablane-request") or request_id
    if not REQUEST_NAME_PATTERN.match(name):
        return _bad_request("", f"Baobablane-Request {name[:64]!r} is malformed")
    if int(headers.get(b"content-length", 0)) > MAX_BODY_BYTES:
        return CallerAnswer(name, ResultCode.BODY_TOO_LARGE)
    try:
        deadline_seconds = _parse_positive_seconds(
            _header_text(headers, b"baobablane-deadline-seconds")
        )
        expires_at = _parse_positive_seconds(
            _header_text(headers, b"idempotency-expires")
        )
    except ValueError as error:
        return _bad_request(name, str(error))
    authorization = _header_text(headers, b"authorization")
    if authorization and not authorization.lower().startswith(BEARER_PREFIX):
        return _bad_request(name, "Authorization must be a Bearer key")
    body = await _read_body(receive)
    if body is None:
        return CallerAnswer(name, ResultCode.BODY_TOO_LARGE)
    return CallerRequest(
        request=name,
        request_id=request_id,
        queue=scope["path_params"]["queue"],
        key=authorization[len(BEARER_PREFIX) :],
        deadline_seconds=deadline_seconds,
        idempotency_key=_header_text(headers, b"idempotency-key"),
        key_expires_at=expires_at or 0.0,
        content_type=_header_text(headers, b"content-type") or DEFAULT_CONTENT_TYPE,
        body=body,
        arrived_at=arrived_at,
        is_deferred=b"respond-async" in headers.get(b"prefer", b""),
    )


async def _read_body(receive: Receive) -> bytes | None:
    """Return the body, or None if it is too large; raise ClientDisconnect without one.

    The body has not arrived as a whole if its client has broken off.
    """
    chunks: list[bytes] = []
    size = 0
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            raise ClientDisconnect
        chunk: bytes = message.get("body", b"")
        size += len(chunk)
        # Discard the received chunks immediately and don't read the rest of the body.
        if size > MAX_BODY_BYTES:
            return None
        chunks.append(chunk)
        if not message.get("more_body", False):
            return b"".join(chunks)


async def _send_done(answer: CallerAnswer, send: Send) -> None:
    headers = [
        (b"content-type", answer.content_type.encode("latin-1")),
        (b"content-length", str(len(answer.body)).encode()),
        (b"baobablane-result", b"0"),
        (b"baobablane-outcome", b"done"),
        (b"baobablane-request", answer.request.encode()),
    ]
    start = {"type": "http.response.start", "status": answer.status}
    await send({**start, "headers": headers})
    await send({"type": "http.response.body", "body": answer.body})


def _header_text(headers: dict[bytes, bytes], name: bytes) -> str:
    return headers.get(name, b"").decode("latin-1")


def _parse_positive_seconds(text: str) -> float | None:
    if not text:
        return None
    value = float(text)
    if not math.isfinite(value) or value <= 0:
        raise ValueError(f"{text!r} is not a positive number of seconds")
    return value


def _bad_request(name: str, detail: str) -> CallerAnswer:
    return CallerAnswer(name, ResultCode.BAD_REQUEST, detail=detail)


def to_response(answer: CallerAnswer) -> Response:
    """Return an answer as an HTTP response, with problem details unless it is DONE."""
    code = answer.code
    headers = {
        "Baobablane-Result": str(int(code)),
        "Baobablane-Outcome": outcome_of(code).value,
        "Baobablane-Request": answer.request,
    }
    if code is ResultCode.DONE:
        headers["Content-Type"] = answer.content_type
        return Response(answer.body, answer.status, headers)
    if code is ResultCode.ACCEPTED:
        headers["Location"] = f"/v1/requests/{answer.request}"
    description = describe(code)
    if description.retryable:
        headers["Retry-After"] = str(max(1, math.ceil(answer.retry_after_seconds)))
    problem = {
        "type": f"urn:baobablane:result:{int(code)}",
        "title": description.title,
        "status": description.status,
        "detail": answer.detail or description.title,
        "code": int(code),
        "outcome": outcome_of(code).value,
        "request": answer.request,
    }
    return Response(
        msgspec.json.encode(problem),
        description.status,
        headers,
        media_type="application/problem+json",
    )
