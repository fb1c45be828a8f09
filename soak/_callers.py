"""Submit, watch and cancel jobs, and try keys and queues."""

import asyncio
from collections.abc import Callable, Sequence
from itertools import count
from typing import Any

import aiohttp
from baobablane_standin.platform import API_KEY, PATH_PREFIX, QUEUE_HOST

from ._answer_check import ENDED_STATES
from ._history import History
from ._planned_job import PlannedJob

CALL_TIMEOUT_SECONDS = 3.0
RETRY_SECONDS = 0.25
POLL_SECONDS = 0.3
SERVING_POLL_SECONDS = 1.0
MAX_ATTEMPTS = 200
READY_PATH = "/baobablane/ready"


class Callers:
    """Call the entry instances through the links of the callers.

    Connections are kept open, and used until their process is gone.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        addresses: Sequence[str],
        history: History,
    ) -> None:
        """Call the entry instances at `addresses`."""
        self._session = session
        self._addresses = addresses
        self._history = history

    async def follow(self, job: PlannedJob) -> None:
        """Submit a job at its time, cancel it if planned, and watch it to its end."""
        await asyncio.sleep(max(0.0, job.at - self._history.now()))
        if not await self._submit(job):
            return
        cancelling = None
        if job.cancel_seconds is not None:
            cancelling = asyncio.ensure_future(self.cancel(job, job.cancel_seconds))
        try:
            await self._watch(job)
            if cancelling is not None:
                await cancelling
        finally:
            if cancelling is not None:
                cancelling.cancel()

    async def cancel(self, job: PlannedJob, seconds: float = 0.0) -> None:
        """Cancel a job after some time, and repeat that until it is confirmed."""
        await asyncio.sleep(seconds)
        self._history.record("cancel-sent", job=job.id)
        for number in count(job.entry):
            if await self._ask("cancel", "DELETE", job, number):
                return
            await asyncio.sleep(RETRY_SECONDS)

    async def is_ready(self, entry: int) -> bool:
        """Return whether an entry instance is ready."""
        status, _ = await self._call(entry, "GET", READY_PATH)
        return status == 200

    async def try_keys_and_queues(
        self, keys: Callable[[], list[str]], paths: Callable[[], list[str]]
    ) -> None:
        """Try withdrawn keys and added queues until cancelled."""
        for number in count():
            entry = number % len(self._addresses)
            for key in keys():
                sent = self._history.now()
                status, _ = await self._call(entry, "GET", PATH_PREFIX, key=key)
                self._record("key-tried", entry, sent, status, key=key)
            for path in paths():
                sent = self._history.now()
                status, _ = await self._call(entry, "GET", path)
                self._record("queue-tried", entry, sent, status, path=path)
            await asyncio.sleep(RETRY_SECONDS)

    async def _submit(self, job: PlannedJob) -> bool:
        for number in range(job.entry, job.entry + MAX_ATTEMPTS):
            sent = self._history.now()
            self._record("submit-sent", number, sent, 0, job=job.id)
            path = PATH_PREFIX + job.id
            status, _ = await self._call(number, "POST", path, job.body)
            self._record("submit", number, sent, status, job=job.id)
            if status == 200:
                return True
            await asyncio.sleep(RETRY_SECONDS)
        return False

    async def _watch(self, job: PlannedJob) -> None:
        seconds = SERVING_POLL_SECONDS if job.allowance else POLL_SECONDS
        for number in count(job.entry):
            state = await self._ask("state", "GET", job, number)
            if state in ENDED_STATES:
                return
            await asyncio.sleep(seconds)

    async def _ask(self, name: str, method: str, job: PlannedJob, entry: int) -> str:
        """Return the state in the answer, or an empty string without one."""
        sent = self._history.now()
        status, answer = await self._call(entry, method, PATH_PREFIX + job.id)
        state = str(answer.get("state", "")) if status == 200 else ""
        self._record(name, entry, sent, status, job=job.id, state=state)
        return state

    def _record(
        self, name: str, entry: int, sent: float, status: int, **fields: object
    ) -> None:
        entry_name = f"entry-{entry % len(self._addresses)}"
        self._history.record(
            name, entry=entry_name, sent=round(sent, 4), status=status, **fields
        )

    async def _call(
        self,
        entry: int,
        method: str,
        path: str,
        body: object = None,
        key: str = API_KEY,
    ) -> tuple[int, dict[str, Any]]:
        """Return the status and the answer; the status is 0 without a response."""
        headers = {"Host": QUEUE_HOST, "Authorization": f"Bearer {key}"}
        address = self._addresses[entry % len(self._addresses)]
        try:
            async with self._session.request(
                method, f"http://{address}{path}", json=body, headers=headers
            ) as response:
                text = await response.text()
                return response.status, await response.json() if text else {}
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError):
            return 0, {}
