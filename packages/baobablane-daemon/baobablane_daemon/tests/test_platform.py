"""Test entry instances on the stand-in platform over HTTP."""

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
    extra_path_prefix,
)

from baobablane_daemon import serve_on_platform
from baobablane_daemon.tasks import DecisionLog

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

    async def start_entry(self, name):
        """Start an entry instance and wait until it is ready."""
        address = f"{HOST}:{find_free_port()}"
        store = self.platform.address
        settings = ProcessSettings(
            name, "zone-a", address, address, store, store, "", self.limits
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

    def starts(self, job=JOB):
        """Return all starts of a job's tasks on the upstreams."""
        return [
            start
            for upstream in self.platform.upstreams
            for start in upstream.starts
            if start[0].startswith(job)
        ]

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


class TestJobs:
    """Test jobs from submission to their end."""

    async def test_accepted_job_runs_each_task_once_and_completes(self):
        async with run_deployment() as deployment:
            (entry,) = deployment.entries
            assert await deployment.submit(entry, count=3) == 200
            await deployment.wait_for_state(entry, "completed")
            assert len(deployment.starts()) == 3

    async def test_job_is_visible_at_every_entry_instance(self):
        async with run_deployment(2) as deployment:
            first, second = deployment.entries
            assert await deployment.submit(first) == 200
            assert await deployment.state(second) is not None
            await deployment.wait_for_state(second, "completed")

    async def test_repeated_submission_runs_the_job_once(self):
        async with run_deployment(2) as deployment:
            first, second = deployment.entries
            assert await deployment.submit(first) == 200
            await deployment.wait_for_state(first, "completed")
            assert await deployment.submit(second) == 200
            assert await deployment.submit(first) == 200
            assert len(deployment.starts()) == 1

    async def test_failing_job_is_retried_once_and_reported_failed(self):
        async with run_deployment() as deployment:
            (entry,) = deployment.entries
            body = {"spec": "5 fail", "steps": [{"count": 1, "cpu": 1000}]}
            await deployment.call(entry, "POST", PATH_PREFIX + JOB, body)
            await deployment.wait_for_state(entry, "failed")
            assert len(deployment.starts()) == 2

    async def test_running_job_can_be_cancelled(self):
        async with run_deployment() as deployment:
            (entry,) = deployment.entries
            await deployment.submit(entry, milliseconds=600_000)
            await deployment.wait_for_state(entry, "running")
            status, _ = await deployment.call(entry, "DELETE", PATH_PREFIX + JOB)
            assert status == 200
            assert await deployment.state(entry) == "cancelled"

    async def test_unknown_job_gets_status_410(self):
        async with run_deployment() as deployment:
            (entry,) = deployment.entries
            for method in ("GET", "DELETE"):
                status, _ = await deployment.call(entry, method, PATH_PREFIX + JOB)
                assert status == 410

    async def test_ended_job_is_deleted_after_its_retention(self):
        async with run_deployment(
            2, PlatformLimits(state_retention_seconds=0.1)
        ) as deployment:
            first, second = deployment.entries
            await deployment.submit(first)

            async def is_deleted():
                status, _ = await deployment.call(second, "GET", PATH_PREFIX + JOB)
                return status == 410 and deployment.starts() != []

            await deployment.wait_for(is_deleted)

    async def test_waiting_jobs_are_counted(self):
        async with run_deployment() as deployment:
            (entry,) = deployment.entries
            assert await deployment.submit(entry, cpu=1_000_000) == 200
            _, answer = await deployment.call(entry, "GET", PATH_PREFIX)
            assert answer == {"pendingCount": 1}


class TestKeys:
    """Test that unknown or withdrawn keys and unknown queues are rejected."""

    async def test_unknown_key_is_rejected(self):
        async with run_deployment() as deployment:
            (entry,) = deployment.entries
            status, _ = await deployment.call(entry, "GET", PATH_PREFIX, key="other")
            assert status == 401

    async def test_unknown_queue_is_not_found(self):
        async with run_deployment() as deployment:
            (entry,) = deployment.entries
            status, _ = await deployment.call(entry, "GET", "/other/")
            assert status == 404

    async def test_withdrawn_key_is_rejected(self):
        async with run_deployment() as deployment:
            (entry,) = deployment.entries
            deployment.platform.write_config(2, ["new"])

            async def is_rejected():
                status, _ = await deployment.call(entry, "GET", PATH_PREFIX)
                return status == 401

            await deployment.wait_for(is_rejected)


class TestSlowLink:
    """Test an entry instance that reads the store over a low-bandwidth link."""

    async def test_large_configuration_is_not_read_again_from_its_start(self):
        async with run_deployment() as deployment:
            (entry,) = deployment.entries
            platform = deployment.platform
            # The record takes more than 2 s.
            platform.store.switches.read_bandwidth = 100_000
            platform.write_config(2, [API_KEY], extra_queue_count=1500)

            async def is_served_or_aborted():
                path = extra_path_prefix(1499)
                status, _ = await deployment.call(entry, "GET", path)
                return status == 200 or platform.aborted_read_count() > 0

            await deployment.wait_for(is_served_or_aborted)
            assert platform.aborted_read_count() == 0

    async def test_restarted_instance_reads_a_large_configuration_once(self):
        async with run_deployment(0) as deployment:
            platform = deployment.platform
            # The record takes more than 4 s, as the newest one of its key.
            platform.store.switches.read_bandwidth = 100_000
            platform.write_config(2, [API_KEY], extra_queue_count=2000)
            start = asyncio.create_task(deployment.start_entry("entry-0"))

            async def is_ready_or_aborted():
                return start.done() or platform.aborted_read_count() > 0

            await deployment.wait_for(is_ready_or_aborted)
            assert platform.aborted_read_count() == 0
            entry = await start
            status, _ = await deployment.call(entry, "GET", extra_path_prefix(1999))
            assert status == 200

    async def test_instance_stays_ready_while_a_large_configuration_arrives(self):
        limits = PlatformLimits(configuration_seconds=60.0)
        async with run_deployment(limits=limits) as deployment:
            (entry,) = deployment.entries
            deployment.platform.store.switches.read_bandwidth = 100_000
            deployment.platform.write_config(2, [API_KEY], extra_queue_count=1500)
            statuses = set()

            async def is_in_force():
                statuses.add((await deployment.call(entry, "GET", READY_PATH))[0])
                statuses.add(await deployment.submit(entry, f"{len(statuses):016x}"))
                path = extra_path_prefix(1499)
                return (await deployment.call(entry, "GET", path))[0] == 200

            await deployment.wait_for(is_in_force)
            assert statuses == {200}

    async def test_query_is_not_held_until_a_slow_read_ends(self):
        async with run_deployment() as deployment:
            (entry,) = deployment.entries
            # The record takes 20 s.
            deployment.platform.store.switches.read_bandwidth = 5_000
            deployment.platform.store.put("keyed.jobs", "other", b"v" * 100_000)
            status, _ = await deployment.call(entry, "GET", PATH_PREFIX + JOB)
            assert status == 503


class TestReadiness:
    """Test when an entry instance asks for callers."""

    @pytest.mark.parametrize("topic", ["keyed.jobs", "keyed.progress"])
    async def test_instance_is_not_ready_before_it_can_serve_jobs(self, topic):
        async with run_deployment(0) as deployment:
            unreadable_topics = deployment.platform.store.switches.unreadable_topics
            unreadable_topics.add(topic)
            start = asyncio.create_task(deployment.start_entry("entry-0"))

            async def has_configuration():
                if not deployment.entries:
                    return False
                try:
                    call = deployment.call(deployment.entries[0], "GET", PATH_PREFIX)
                    return (await call)[0] == 200
                except aiohttp.ClientError:
                    return False

            await deployment.wait_for(has_configuration)
            assert not await deployment.is_ready(deployment.entries[0])
            unreadable_topics.clear()
            entry = await start
            assert await deployment.submit(entry) == 200


class TestStaleConfiguration:
    """Test requests that depend on a configuration that can't be confirmed."""

    @pytest.mark.parametrize("path, key", [("/added/", API_KEY), (PATH_PREFIX, "new")])
    async def test_unconfirmed_view_does_not_deny_a_queue_or_key(self, path, key):
        async with run_deployment() as deployment:
            (entry,) = deployment.entries
            deployment.platform.store.switches.is_down = True

            async def is_not_ready():
                status, _ = await deployment.call(entry, "GET", READY_PATH)
                return status == 503

            await deployment.wait_for(is_not_ready)
            status, _ = await deployment.call(entry, "GET", path, key=key)
            assert status == 503

    async def test_no_job_is_accepted_after_a_newer_configuration_may_be_due(self):
        limits = PlatformLimits(
            key_withdrawal_seconds=1000.0, configuration_seconds=2.0
        )
        async with run_deployment(limits=limits) as deployment:
            (entry,) = deployment.entries
            platform = deployment.platform
            platform.store.switches.unreadable_topics.add("keyed.op")
            platform.write_config(2, ["new"])

            statuses = []

            async def is_rejected():
                statuses.append(await deployment.submit(entry))
                return statuses[-1] == 503

            await deployment.wait_for(is_rejected)
            assert set(statuses) == {200, 503}
            platform.store.switches.unreadable_topics.clear()

            async def is_denied():
                return await deployment.submit(entry) == 401

            await deployment.wait_for(is_denied)


class TestFailures:
    """Test store outages, lost writes and responses, lost owners and restarts."""

    async def test_rejected_job_never_runs(self):
        async with run_deployment() as deployment:
            (entry,) = deployment.entries
            deployment.platform.store.switches.is_down = True
            assert await deployment.submit(entry) == 503
            deployment.platform.store.switches.is_down = False
            other = "00000000000000b2"

            async def is_accepted():
                return await deployment.submit(entry, other) == 200

            await deployment.wait_for(is_accepted)
            await deployment.wait_for_state(entry, "completed", other)
            assert deployment.starts() == []

    async def test_job_is_accepted_when_the_append_response_is_lost(self):
        async with run_deployment() as deployment:
            (entry,) = deployment.entries
            deployment.platform.store.switches.loses_responses = True
            assert await deployment.submit(entry) == 200
            deployment.platform.store.switches.loses_responses = False
            await deployment.wait_for_state(entry, "completed")
            assert len(deployment.starts()) == 1

    async def test_lost_write_is_no_rejection(self):
        async with run_deployment() as deployment:
            (entry,) = deployment.entries
            deployment.platform.store.switches.loses_writes = True
            assert await deployment.submit(entry) == 504
            deployment.platform.store.switches.loses_writes = False
            assert await deployment.submit(entry) == 200

    async def test_job_is_rejected_without_an_append_during_a_store_outage(self):
        async with run_deployment() as deployment:
            (entry,) = deployment.entries
            deployment.platform.store.switches.is_down = True

            async def is_not_ready():
                status, _ = await deployment.call(entry, "GET", READY_PATH)
                return status == 503

            await deployment.wait_for(is_not_ready)
            append_count = deployment.platform.append_count()
            assert await deployment.submit(entry) == 503
            assert deployment.platform.append_count() == append_count

    @pytest.mark.parametrize("is_graceful", [True, False])
    async def test_running_task_survives_a_change_of_owner(self, is_graceful):
        async with run_deployment(2) as deployment:
            first, second = deployment.entries
            await deployment.submit(second, milliseconds=4000)
            await deployment.wait_for_state(second, "running")
            if is_graceful:
                first.stop.set()
            else:
                await first.kill()
            await deployment.wait_for_state(second, "completed")
            assert len(deployment.starts()) == 1

    async def test_restarted_upstream_runs_its_tasks_again(self):
        async with run_deployment() as deployment:
            (entry,) = deployment.entries
            await deployment.submit(entry, milliseconds=300, count=2)
            await deployment.wait_for_state(entry, "running")
            for upstream in deployment.platform.upstreams:
                upstream.restart()
            await deployment.wait_for_state(entry, "completed")
            assert {run for _, run in deployment.starts()} <= {1, 2}
