"""Send attempts to upstreams and classify the responses."""

import asyncio
import hashlib
from base64 import b64encode

import aiohttp
import msgspec
from baobablane.dispatch import TASK_LEASE_SECONDS, AttemptResult
from yarl import URL

CONTROL_TIMEOUT_SECONDS = 1.0
STATUS_SERVICE_UNAVAILABLE = 503
STATUS_FIRST_SERVER_ERROR = 500


class UpstreamCall(msgspec.Struct, frozen=True, gc=False):
    """Represent one attempt as it is sent to an upstream."""

    url: URL
    attempt: str
    team: str
    idempotency_key: str
    content_type: str
    body: bytes
    # Time left until the request's deadline.
    seconds: float


class UpstreamResponse(msgspec.Struct, frozen=True, gc=False):
    """Represent the result of an attempt, with the response if it is complete."""

    result: AttemptResult
    status: int = 0
    content_type: str = ""
    body: bytes = b""


class UpstreamClient:
    """Own the HTTP connections to upstreams."""

    def __init__(self) -> None:
        """Create the HTTP session; must be called inside a running event loop."""
        connector = aiohttp.TCPConnector(limit=0, keepalive_timeout=30)
        self._session = aiohttp.ClientSession(
            connector=connector,
            timeout=aiohttp.ClientTimeout(),
            auto_decompress=False,
            skip_auto_headers=("Accept", "Accept-Encoding", "User-Agent"),
            cookie_jar=aiohttp.DummyCookieJar(),
        )

    async def send(self, call: UpstreamCall) -> UpstreamResponse:
        """Send an attempt and return its result, TIMEOUT after `call.seconds`."""
        headers = {
            "Attempt-Id": call.attempt,
            "Lease-Seconds": f"{min(call.seconds, TASK_LEASE_SECONDS):.3f}",
            "Content-Type": call.content_type,
            "Team": call.team,
        }
        if call.idempotency_key:
            headers["Idempotency-Key"] = call.idempotency_key
        try:
            async with asyncio.timeout(call.seconds):
                return await self._exchange(call, headers)
        except aiohttp.ClientConnectorError:
            return UpstreamResponse(AttemptResult.NOT_SENT)
        except TimeoutError:
            return UpstreamResponse(AttemptResult.TIMEOUT)
        except (aiohttp.ClientError, OSError):
            return UpstreamResponse(AttemptResult.CONNECTION_LOST)

    async def stop(self, tasks_url: URL, attempt: str) -> None:
        """Ask an upstream to stop an attempt; if that fails, its lease expires."""
        timeout = aiohttp.ClientTimeout(total=CONTROL_TIMEOUT_SECONDS)
        try:
            async with self._session.delete(
                tasks_url / attempt, timeout=timeout
            ) as response:
                await response.read()
        except (aiohttp.ClientError, TimeoutError):
            return

    async def close(self) -> None:
        """Close all connections."""
        await self._session.close()

    async def renew(self, tasks_url: URL, attempt: str, seconds: float) -> None:
        """Try to renew an attempt's lease for `seconds`.

        The upstream stops the task when its lease expires.
        """
        headers = {"Lease-Seconds": f"{seconds:.3f}"}
        timeout = aiohttp.ClientTimeout(total=CONTROL_TIMEOUT_SECONDS)
        try:
            async with self._session.put(
                tasks_url / attempt / "lease", headers=headers, timeout=timeout
            ) as response:
                await response.read()
        except (aiohttp.ClientError, TimeoutError):
            return

    async def _exchange(
        self, call: UpstreamCall, headers: dict[str, str]
    ) -> UpstreamResponse:
        async with self._session.post(
            call.url, data=call.body, headers=headers
        ) as response:
            body = await response.read()
            return _classify_response(call.attempt, response, body)


def _classify_response(
    attempt: str, response: aiohttp.ClientResponse, body: bytes
) -> UpstreamResponse:
    headers = response.headers
    state = headers.get("Task-State", "")
    if response.status == STATUS_SERVICE_UNAVAILABLE and state == "not-started":
        return UpstreamResponse(AttemptResult.FULL)
    if state == "failed":
        return UpstreamResponse(AttemptResult.FAILED, response.status)
    if response.status >= STATUS_FIRST_SERVER_ERROR:
        return UpstreamResponse(AttemptResult.CONNECTION_LOST, response.status)
    if headers.get("Attempt-Id") != attempt:
        return UpstreamResponse(AttemptResult.CROSSED)
    if not _matches_digest(headers.get("Content-Digest", ""), body):
        return UpstreamResponse(AttemptResult.TRUNCATED)
    content_type = headers.get("Content-Type", "application/octet-stream")
    return UpstreamResponse(AttemptResult.DONE, response.status, content_type, body)


def _matches_digest(digest: str, body: bytes) -> bool:
    if not digest:
        return False
    expected = b64encode(hashlib.sha256(body).digest()).decode()
    return digest == f"sha-256=:{expected}:"
