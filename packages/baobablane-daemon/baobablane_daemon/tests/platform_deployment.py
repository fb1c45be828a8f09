"""Run entry instances on the stand-in platform, for tests over HTTP."""

import asyncio
from contextlib import asynccontextmanager
from dataclasses import dataclass

import aiohttp
from baobablane.deployment import PlatformLimits
from baobablane_platform import ProcessSettings
from baobablane_standin.platform import PlatformStandin
from baobablane_standin.platform._deployment import (
    API_KEY,
    HOST,
    PATH_PREFIX,
    QUEUE_HOST,
)

from baobablane_daemon import serve_on_platform
from baobablane_daemon.decision_log import DecisionLog
from baobablane_daemon.jobs import JOBS_TOPIC
from baobablane_daemon.jobs._views import PEER_PREFIX

# Far longer than any step here takes, so only a hang reaches it.
HANG_TIMEOUT_SECONDS = 60.0
POLL_INTERVAL_SECONDS = 0.02
JOB = "00000000000000a1"
READY_PATH = "/baobablane/ready"


def find_free_port():
    """Return a free TCP port."""
    import socket

    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return probe.getsockname()[1]


@dataclass
class EntryInstance:
    """Represent an entry instance that serves in this process."""

    address: str
    stop: asyncio.Event
    task: asyncio.Task

    async def kill(self):
        """Cancel the instance without a graceful stop."""
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)


class Deployment:
    """Run entry instances on a stand-in platform and call them."""

    def __init__(self, platform, session, limits):
        """Start without entry instances."""
        self.limits = limits
        self.platform = platform
        self.session = session
        self.entries = []

    async def start_entry(
        self, name, link_mbit=1000.0, metrics_address="", feed_address=""
    ):
        """Start an entry instance and wait until it is ready."""
        address = f"{HOST}:{find_free_port()}"
        store = self.platform.address
        settings = ProcessSettings(
            name,
            "zone-a",
            address,
            address,
            store,
            store,
            "",
            self.limits,
            metrics_address=metrics_address,
            link_mbit=link_mbit,
            feed_address=feed_address,
        )
        stop = asyncio.Event()
        coroutine = serve_on_platform(settings, DecisionLog(name), stop)
        entry = EntryInstance(address, stop, asyncio.create_task(coroutine))
        self.entries.append(entry)
        await self.wait_for(lambda: self.is_ready(entry))
        return entry

    async def call(self, entry, method, path, body=None, key=API_KEY):
        """Send a caller's request and return the HTTP status and the decoded body."""
        headers = {"Host": QUEUE_HOST, "Authorization": f"Bearer {key}"}
        url = f"http://{entry.address}{path}"
        async with self.session.request(
            method, url, json=body, headers=headers
        ) as response:
            text = await response.text()
            answer = await response.json() if text else {}
            return response.status, answer

    async def submit(self, entry, job=JOB, milliseconds=10, count=1, **step):
        """Submit a job of one step and return the HTTP status."""
        body = {"spec": str(milliseconds), "steps": [{"count": count, "cpu": 1000}]}
        body["steps"][0] |= step
        status, _ = await self.call(entry, "POST", PATH_PREFIX + job, body)
        return status

    async def state(self, entry, job=JOB):
        """Return a job's state as one entry instance reports it."""
        _, answer = await self.call(entry, "GET", PATH_PREFIX + job)
        return answer.get("state")

    async def wait_for(self, condition):
        """Wait until an asynchronous condition holds."""
        async with asyncio.timeout(HANG_TIMEOUT_SECONDS):
            while not await condition():
                await asyncio.sleep(POLL_INTERVAL_SECONDS)

    async def wait_for_state(self, entry, state, job=JOB):
        """Wait until a job is in a state."""

        async def is_reached():
            return await self.state(entry, job) == state

        await self.wait_for(is_reached)

    async def wait_until_not_ready(self, entry):
        """Wait until an entry instance rejects the readiness check."""

        async def is_not_ready():
            status, _ = await self.call(entry, "GET", READY_PATH)
            return status == 503

        await self.wait_for(is_not_ready)

    def starts(self, job=JOB):
        """Return all starts of a job's tasks on the upstreams."""
        return [
            start
            for upstream in self.platform.upstreams
            for start in upstream.starts
            if start[0].startswith(job)
        ]

    def peers(self):
        """Return the entry instances that are registered as successors."""
        newest = self.platform.store.partition(JOBS_TOPIC, 0).newest
        keys = [key for key in newest if key.startswith(PEER_PREFIX)]
        return {key.removeprefix(PEER_PREFIX) for key in keys}

    async def is_ready(self, entry):
        """Return whether an entry instance is ready for callers."""
        try:
            status, _ = await self.call(entry, "GET", READY_PATH)
        except aiohttp.ClientError:
            return False
        return status == 200


@asynccontextmanager
async def run_deployment(entries=1, limits=None):
    """Run a stand-in platform with some entry instances."""
    async with PlatformStandin() as platform, aiohttp.ClientSession() as session:
        deployment = Deployment(platform, session, limits or PlatformLimits())
        try:
            for number in range(entries):
                await deployment.start_entry(f"entry-{number}")
            yield deployment
        finally:
            for entry in deployment.entries:
                await entry.kill()
