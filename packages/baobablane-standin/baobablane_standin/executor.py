"""Run tasks for tests and inject the failures of an executor."""

import asyncio
import hashlib
import time
from base64 import b64encode
from enum import StrEnum

import msgspec
from starlette.types import Receive, Scope, Send

Headers = dict[bytes, bytes]


class ExecutorMode(StrEnum):
    """Name the failure that an executor simulates.

    FAIL reports that the task failed, CUT closes the connection after the headers,
    TRUNCATED sends half of the body with the digest of all of it, CROSSED returns
    another attempt's identifier, and DOWN rejects every task.
    """

    OK = "ok"
    FAIL = "fail"
    CUT = "cut"
    TRUNCATED = "truncated"
    CROSSED = "crossed"
    DOWN = "down"


class ExecutorSwitches(msgspec.Struct):
    """Store the simulated failure, and a delay added to every task."""

    mode: ExecutorMode = ExecutorMode.OK
    slow_seconds: float = 0.0


class TaskOrder(msgspec.Struct):
    """Store the duration, in seconds, and the outcome that a task's body requests."""

    run_seconds: float = 0.0
    fail: bool = False


class TaskRun(msgspec.Struct):
    """Record one started task.

    Times are in seconds on the monotonic clock; `ended_at` is 0 while the task runs.
    """

    attempt: str
    key: str
    team: str
    started_at: float
    ended_at: float = 0.0


class Executor:
    """Simulate one executor with a limited number of slots."""

    def __init__(self, name: str, slots: int) -> None:
        """Start without running tasks and without failures."""
        self.name = name
        self._slots = slots
        self._task_by_attempt: dict[str, asyncio.Task[bool]] = {}
        self._lease_end_by_attempt: dict[str, float] = {}
        self.runs: list[TaskRun] = []
        self.switches = ExecutorSwitches()

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve the executor protocol, and the runs and switches for tests."""
        body = await _read_body(receive)
        path = scope["path"]
        if path == "/v1/tasks" and scope["method"] == "POST":
            await self._run_task(dict(scope["headers"]), body, send)
        elif path.startswith("/v1/tasks/") and scope["method"] == "DELETE":
            self._cancel_task(path.rpartition("/")[2])
            await _send_response(send, 200, b"{}", [])
        elif path.startswith("/v1/tasks/") and scope["method"] == "PUT":
            attempt = path.split("/")[3]
            if attempt in self._lease_end_by_attempt:
                self._renew_lease(attempt, dict(scope["headers"]))
            await _send_response(send, 200, b"{}", [])
        elif path == "/runs":
            await _send_response(send, 200, msgspec.json.encode(self.runs), [])
        elif path == "/switches":
            self.switches = msgspec.json.decode(body, type=ExecutorSwitches)
            await _send_response(send, 200, b"{}", [])
        else:
            await _send_response(send, 404, b"", [])

    async def _run_task(self, headers: Headers, body: bytes, send: Send) -> None:
        mode = self.switches.mode
        if mode is ExecutorMode.DOWN or len(self._task_by_attempt) >= self._slots:
            await _send_response(send, 503, b"", [(b"task-state", b"not-started")])
            return
        attempt = headers[b"attempt-id"].decode()
        run = TaskRun(
            attempt,
            headers.get(b"idempotency-key", b"").decode(),
            headers.get(b"team", b"").decode(),
            time.monotonic(),
        )
        self.runs.append(run)
        order = _decode_order(body)
        seconds = order.run_seconds + self.switches.slow_seconds
        self._renew_lease(attempt, headers)
        task = asyncio.create_task(self._run_under_lease(attempt, seconds))
        self._task_by_attempt[attempt] = task
        try:
            if seconds:
                await asyncio.wait([task])
        finally:
            del self._task_by_attempt[attempt]
            del self._lease_end_by_attempt[attempt]
            run.ended_at = time.monotonic()
        failed = order.fail or mode is ExecutorMode.FAIL
        was_stopped = task.done() and (task.cancelled() or not task.result())
        if failed or was_stopped:
            await _send_response(send, 500, b"", [(b"task-state", b"failed")])
            return
        await self._send_done_response(mode, attempt, body, send)

    def _renew_lease(self, attempt: str, headers: Headers) -> None:
        seconds = float(headers.get(b"lease-seconds", b"10"))
        self._lease_end_by_attempt[attempt] = time.monotonic() + seconds

    async def _run_under_lease(self, attempt: str, seconds: float) -> bool:
        end = time.monotonic() + seconds
        while True:
            now = time.monotonic()
            if now >= end:
                return True
            if now >= self._lease_end_by_attempt[attempt]:
                return False
            await asyncio.sleep(min(end, self._lease_end_by_attempt[attempt]) - now)

    async def _send_done_response(
        self, mode: ExecutorMode, attempt: str, body: bytes, send: Send
    ) -> None:
        response_body = body or b"{}"
        if mode is ExecutorMode.CUT:
            await _break_connection(send, response_body)
        headers = [
            (b"attempt-id", attempt.encode()),
            (b"content-digest", _digest(response_body)),
        ]
        if mode is ExecutorMode.CROSSED:
            headers[0] = (b"attempt-id", b"another.1")
        if mode is ExecutorMode.TRUNCATED:
            response_body = response_body[: len(response_body) // 2]
        await _send_response(send, 200, response_body, headers)

    def _cancel_task(self, attempt: str) -> None:
        task = self._task_by_attempt.get(attempt)
        if task is not None:
            task.cancel()


def _digest(body: bytes) -> bytes:
    return b"sha-256=:" + b64encode(hashlib.sha256(body).digest()) + b":"


def _decode_order(body: bytes) -> TaskOrder:
    try:
        return msgspec.json.decode(body, type=TaskOrder)
    except msgspec.DecodeError:
        return TaskOrder()


async def _read_body(receive: Receive) -> bytes:
    parts: list[bytes] = []
    while True:
        message = await receive()
        parts.append(message.get("body", b""))
        if not message.get("more_body", False):
            return b"".join(parts)


async def _break_connection(send: Send, body: bytes) -> None:
    headers = [(b"content-length", str(len(body)).encode())]
    start = {"type": "http.response.start", "status": 200, "headers": headers}
    await send(start)
    # The server closes the connection if an application raises after its headers.
    raise ConnectionAbortedError("simulated connection loss after the headers")


async def _send_response(
    send: Send, status: int, body: bytes, headers: list[tuple[bytes, bytes]]
) -> None:
    length = (b"content-length", str(len(body)).encode())
    start = {"type": "http.response.start", "status": status}
    await send({**start, "headers": [*headers, length]})
    await send({"type": "http.response.body", "body": body})
