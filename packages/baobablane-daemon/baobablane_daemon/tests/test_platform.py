"""Test entry instances against the stand-in platform, over HTTP."""

import asyncio
from contextlib import asynccontextmanager
from dataclasses import dataclass

import aiohttp
import pytest
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
from baobablane_daemon.tasks import DecisionLog

# Far beyond what anything here takes: only a hang ends a test by it.
HANG_SECONDS = 60.0
LOOK_SECONDS = 0.02
JOB = "00000000000000a1"


def find_port():
    """Return a free port."""
    import socket

    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return probe.getsockname()[1]


@dataclass
class Entry:
    """Hold one entry instance that serves in this process."""

    address: str
    stop: asyncio.Event
    task: asyncio.Task

    async def kill(self):
        """End it without any farewell."""
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)


class World:
    """Hold a stand-in platform and the entry instances on it."""

    def __init__(self, platform, session, limits):
        """Start without entry instances."""
        self.limits = limits
        self.platform = platform
        self.session = session
        self.entries = []

    async def start_entry(self, name):
        """Start an entry instance and wait until it is ready."""
        address = f"{HOST}:{find_port()}"
        store = self.platform.address
        settings = ProcessSettings(
            name, "zone-a", address, address, store, store, "", self.limits
        )
        stop = asyncio.Event()
        work = serve_on_platform(settings, DecisionLog(name), stop)
        entry = Entry(address, stop, asyncio.create_task(work))
        self.entries.append(entry)
        await self.wait_for(lambda: self._is_ready(entry))
        return entry

    async def call(self, entry, method, path, body=None, key=API_KEY):
        """Return the status and the answer of a caller's request."""
        headers = {"Host": QUEUE_HOST, "Authorization": f"Bearer {key}"}
        url = f"http://{entry.address}{path}"
        async with self.session.request(
            method, url, json=body, headers=headers
        ) as response:
            text = await response.text()
            answer = await response.json() if text else {}
            return response.status, answer

    async def submit(self, entry, job=JOB, milliseconds=10, count=1, **step):
        """Hand in a job of one step and return the status."""
        body = {"spec": str(milliseconds), "steps": [{"count": count, "cpu": 1000}]}
        body["steps"][0] |= step
        status, _ = await self.call(entry, "POST", PATH_PREFIX + job, body)
        return status

    async def state(self, entry, job=JOB):
        """Return a job's state as one entry instance shows it."""
        _, answer = await self.call(entry, "GET", PATH_PREFIX + job)
        return answer.get("state")

    async def wait_for(self, condition):
        """Wait until an asynchronous condition holds."""
        async with asyncio.timeout(HANG_SECONDS):
            while not await condition():
                await asyncio.sleep(LOOK_SECONDS)

    async def wait_state(self, entry, state, job=JOB):
        """Wait until a job is in a state."""

        async def reached():
            return await self.state(entry, job) == state

        await self.wait_for(reached)

    def starts(self, job=JOB):
        """Return all starts of a job's tasks."""
        return [
            start
            for upstream in self.platform.upstreams
            for start in upstream.starts
            if start[0].startswith(job)
        ]

    async def _is_ready(self, entry):
        try:
            status, _ = await self.call(entry, "GET", "/baobablane/ready")
        except aiohttp.ClientError:
            return False
        return status == 200


@asynccontextmanager
async def make_world(entries=1, limits=None):
    """Run a stand-in platform with some entry instances."""
    async with PlatformStandin() as platform, aiohttp.ClientSession() as session:
        world = World(platform, session, limits or PlatformLimits())
        try:
            for number in range(entries):
                await world.start_entry(f"entry-{number}")
            yield world
        finally:
            for entry in world.entries:
                await entry.kill()


class TestJobs:
    """Test jobs from their acceptance to their end."""

    async def test_job_is_accepted_run_and_completed(self):
        async with make_world() as world:
            (entry,) = world.entries
            assert await world.submit(entry, count=3) == 200
            await world.wait_state(entry, "completed")
            assert len(world.starts()) == 3

    async def test_every_entry_instance_knows_every_job(self):
        async with make_world(2) as world:
            first, second = world.entries
            assert await world.submit(first) == 200
            assert await world.state(second) is not None
            await world.wait_state(second, "completed")

    async def test_repeated_submission_is_one_job(self):
        async with make_world(2) as world:
            first, second = world.entries
            assert await world.submit(first) == 200
            await world.wait_state(first, "completed")
            assert await world.submit(second) == 200
            assert await world.submit(first) == 200
            assert len(world.starts()) == 1

    async def test_failed_job_is_shown_as_failed(self):
        async with make_world() as world:
            (entry,) = world.entries
            body = {"spec": "5 fail", "steps": [{"count": 1, "cpu": 1000}]}
            await world.call(entry, "POST", PATH_PREFIX + JOB, body)
            await world.wait_state(entry, "failed")
            assert len(world.starts()) == 2

    async def test_cancelled_job_is_stopped(self):
        async with make_world() as world:
            (entry,) = world.entries
            await world.submit(entry, milliseconds=600_000)
            await world.wait_state(entry, "running")
            status, _ = await world.call(entry, "DELETE", PATH_PREFIX + JOB)
            assert status == 200
            assert await world.state(entry) == "cancelled"

    async def test_unknown_job_is_gone(self):
        async with make_world() as world:
            (entry,) = world.entries
            for method in ("GET", "DELETE"):
                status, _ = await world.call(entry, method, PATH_PREFIX + JOB)
                assert status == 410

    async def test_ended_job_is_forgotten_after_its_state_was_kept(self):
        async with make_world(2, PlatformLimits(state_retention_seconds=0.1)) as world:
            first, second = world.entries
            await world.submit(first)

            async def is_forgotten():
                status, _ = await world.call(second, "GET", PATH_PREFIX + JOB)
                return status == 410 and world.starts() != []

            await world.wait_for(is_forgotten)

    async def test_waiting_jobs_are_counted(self):
        async with make_world() as world:
            (entry,) = world.entries
            assert await world.submit(entry, cpu=1_000_000) == 200
            _, answer = await world.call(entry, "GET", PATH_PREFIX)
            assert answer == {"pendingCount": 1}


class TestKeys:
    """Test keys and unknown queues."""

    async def test_unknown_key_is_refused(self):
        async with make_world() as world:
            (entry,) = world.entries
            status, _ = await world.call(entry, "GET", PATH_PREFIX, key="other")
            assert status == 401

    async def test_unknown_queue_is_not_found(self):
        async with make_world() as world:
            (entry,) = world.entries
            status, _ = await world.call(entry, "GET", "/other/")
            assert status == 404

    async def test_withdrawn_key_stops_working(self):
        async with make_world() as world:
            (entry,) = world.entries
            world.platform.write_config(2, ["new"])

            async def is_refused():
                status, _ = await world.call(entry, "GET", PATH_PREFIX)
                return status == 401

            await world.wait_for(is_refused)


class TestFailures:
    """Test the store away, lost answers and owners that are replaced."""

    async def test_rejected_job_never_runs(self):
        async with make_world() as world:
            (entry,) = world.entries
            world.platform.store.switches.is_down = True
            assert await world.submit(entry) == 503
            world.platform.store.switches.is_down = False
            other = "00000000000000b2"

            async def is_accepted():
                return await world.submit(entry, other) == 200

            await world.wait_for(is_accepted)
            await world.wait_state(entry, "completed", other)
            assert world.starts() == []

    async def test_job_whose_append_is_not_answered_is_found_stored(self):
        async with make_world() as world:
            (entry,) = world.entries
            world.platform.store.switches.loses_answers = True
            assert await world.submit(entry) == 200
            world.platform.store.switches.loses_answers = False
            await world.wait_state(entry, "completed")
            assert len(world.starts()) == 1

    async def test_lost_write_is_no_rejection(self):
        async with make_world() as world:
            (entry,) = world.entries
            world.platform.store.switches.loses_writes = True
            assert await world.submit(entry) == 504
            world.platform.store.switches.loses_writes = False
            assert await world.submit(entry) == 200

    async def test_job_is_rejected_at_once_while_the_store_is_away(self):
        async with make_world() as world:
            (entry,) = world.entries
            world.platform.store.switches.is_down = True

            async def is_not_ready():
                status, _ = await world.call(entry, "GET", "/baobablane/ready")
                return status == 503

            await world.wait_for(is_not_ready)
            append_count = world.platform.append_count()
            assert await world.submit(entry) == 503
            assert world.platform.append_count() == append_count

    @pytest.mark.parametrize("is_graceful", [True, False])
    async def test_running_task_outlives_its_owner(self, is_graceful):
        async with make_world(2) as world:
            first, second = world.entries
            await world.submit(second, milliseconds=4000)
            await world.wait_state(second, "running")
            if is_graceful:
                first.stop.set()
            else:
                await first.kill()
            await world.wait_state(second, "completed")
            assert len(world.starts()) == 1

    async def test_restarted_upstream_runs_its_tasks_again(self):
        async with make_world() as world:
            (entry,) = world.entries
            await world.submit(entry, milliseconds=300, count=2)
            await world.wait_state(entry, "running")
            for upstream in world.platform.upstreams:
                upstream.restart()
            await world.wait_state(entry, "completed")
            assert {run for _, run in world.starts()} <= {1, 2}
