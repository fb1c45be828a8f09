"""Test what entry instances do while their views of the store lag."""

import asyncio

import aiohttp
import pytest
from baobablane.deployment import PlatformLimits
from baobablane_standin.platform._deployment import (
    API_KEY,
    PATH_PREFIX,
    extra_path_prefix,
)

from .platform_deployment import JOB, READY_PATH, run_deployment


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
                    call = deployment.call(deployment.entries[0], "GET", "/none/")
                    return (await call)[0] == 404
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
            await deployment.wait_until_not_ready(entry)
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


class TestSlowBody:
    """Test a key that is withdrawn while the body of a request arrives."""

    async def test_job_is_rejected_by_the_newer_configuration(self):
        async with run_deployment() as deployment:
            (entry,) = deployment.entries
            host, _, port = entry.address.partition(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            body = b'{"steps":[{"cpu":1000}]}'
            writer.write(
                f"POST {PATH_PREFIX}{JOB} HTTP/1.1\r\nHost: queues.example\r\n"
                f"Authorization: Bearer {API_KEY}\r\n"
                f"Content-Length: {len(body)}\r\n\r\n".encode()
                + body[:5]
            )
            await writer.drain()
            deployment.platform.write_config(2, ["new"])

            async def is_rejected():
                status, _ = await deployment.call(entry, "GET", PATH_PREFIX)
                return status == 401

            await deployment.wait_for(is_rejected)
            writer.write(body[5:])
            status_line = await reader.readline()
            writer.close()
            assert b" 401 " in status_line
            store = deployment.platform.store
            assert store.partition("keyed.jobs", 0).end_offset == 0
