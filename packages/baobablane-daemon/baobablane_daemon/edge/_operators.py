"""Serve the operators' HTTP API and the load balancer's health checks."""

import hashlib
import hmac
from collections.abc import Awaitable, Callable

import msgspec
from baobablane.errors import ResultCode
from prometheus_client import generate_latest
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import PlainTextResponse, Response
from starlette.routing import Route

from ..engine import CallerAnswer, Engine, make_status
from ._callers import to_response

Handler = Callable[[Request], Awaitable[Response]]
BEARER_PREFIX = "bearer "


def make_operators_app(engine: Engine) -> Starlette:
    """Return the application that serves the operators' port."""
    expected_digest = engine.settings.operators.token_digest

    def require_token(handler: Handler) -> Handler:
        async def check_token(request: Request) -> Response:
            token = request.headers.get("authorization", "")[len(BEARER_PREFIX) :]
            actual_digest = hashlib.sha256(token.encode()).hexdigest()
            if not hmac.compare_digest(actual_digest, expected_digest):
                return to_response(CallerAnswer("", ResultCode.TOKEN_REFUSED))
            return await handler(request)

        return check_token

    async def health(request: Request) -> Response:
        return PlainTextResponse("ok\n")

    async def ready(request: Request) -> Response:
        is_ready = engine.is_ready()
        text = "ready\n" if is_ready else "not ready\n"
        return PlainTextResponse(text, 200 if is_ready else 503)

    async def metrics(request: Request) -> Response:
        return Response(generate_latest(engine.registry), media_type="text/plain")

    async def status(request: Request) -> Response:
        body = msgspec.json.encode(make_status(engine))
        return Response(body, media_type="application/json")

    async def explain(request: Request) -> Response:
        entries = engine.decisions.explain(request.path_params["name"])
        return Response(msgspec.json.encode(entries), media_type="application/json")

    return Starlette(
        routes=[
            Route("/healthz", health),
            Route("/readyz", ready),
            Route("/metrics", require_token(metrics)),
            Route("/v1/status", require_token(status)),
            Route("/v1/explain/{name}", require_token(explain)),
        ]
    )
