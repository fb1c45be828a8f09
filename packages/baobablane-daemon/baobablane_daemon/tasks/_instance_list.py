"""Poll the platform's list of instances."""

import asyncio
from dataclasses import dataclass

import aiohttp
import msgspec
from baobablane_platform import receive_response, stall_timeout

POLL_INTERVAL_SECONDS = 0.5
TIMEOUT_SECONDS = 2.0
# Maximum time in which too little of the list arrives, from the call on.
SLOW_SECONDS = 2 * TIMEOUT_SECONDS
STATUS_OK = 200


class ListedInstance(msgspec.Struct, frozen=True):
    """Represent an entry of the platform's list; its state is live, leaving or gone."""

    id: str
    state: str


@dataclass(frozen=True, slots=True)
class UnavailableInstances:
    """Report the IDs of the instances listed as leaving or gone."""

    leaving: frozenset[str]
    gone: frozenset[str]


class InstanceListTask:
    """Poll the platform's instance list and report to an inbox."""

    def __init__(self, url: str, inbox: "asyncio.Queue[object]") -> None:
        """Set the base URL of the list's service; polling starts with `run`."""
        self._url = f"{url.rstrip('/')}/instances"
        self._inbox = inbox

    async def run(self) -> None:
        """Poll until cancelled; a list that can't be read is not reported."""
        timeout = stall_timeout(TIMEOUT_SECONDS)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while True:
                unavailable = await self._read(session)
                if unavailable is not None:
                    await self._inbox.put(unavailable)
                await asyncio.sleep(POLL_INTERVAL_SECONDS)

    async def _read(
        self, session: aiohttp.ClientSession
    ) -> UnavailableInstances | None:
        try:
            status, body = await receive_response(session.get(self._url), SLOW_SECONDS)
            if status != STATUS_OK:
                return None
            instances = msgspec.json.decode(body, type=list[ListedInstance])
        except (aiohttp.ClientError, TimeoutError, msgspec.DecodeError):
            return None
        return UnavailableInstances(
            frozenset(item.id for item in instances if item.state == "leaving"),
            frozenset(item.id for item in instances if item.state == "gone"),
        )
