"""Test that jobs go on while entry instances are stopped as planned."""

import asyncio

import pytest
from baobablane_standin.platform._deployment import HOST

from .platform_deployment import find_free_port, run_deployment


async def start_watched(deployment, count):
    """Start entry instances that watch one another, until one owns."""
    for number in range(count):
        await deployment.start_entry(
            f"entry-{number}", feed_address=f"{HOST}:{find_free_port()}"
        )

    async def are_registered():
        return len(deployment.peers()) == count

    await deployment.wait_for(are_registered)
    for number, entry in enumerate(deployment.entries):
        job = f"{number:016x}"
        assert await deployment.submit(entry, job) == 200
        await deployment.wait_for_state(entry, "completed", job)


class TestStops:
    """Test instances that are all stopped."""

    @pytest.mark.parametrize("count", [1, 2])
    async def test_job_is_placed_if_nobody_else_could(self, count):
        """Guards against a restart of all in which nobody places for seconds.

        A stopping instance still accepts jobs over its open connections.
        """
        async with run_deployment(0) as deployment:
            await start_watched(deployment, count)
            entry = deployment.entries[-1]
            for each in deployment.entries:
                each.stop.set()
            await deployment.wait_until_not_ready(entry)
            assert await deployment.submit(entry) == 200

            async def is_placed_or_over():
                is_over = all(each.task.done() for each in deployment.entries)
                return bool(deployment.starts()) or is_over

            await deployment.wait_for(is_placed_or_over)
            assert deployment.starts()

    async def test_stopped_instance_is_no_successor(self):
        """Guards against an ownership that is handed to instances that stop as well."""
        async with run_deployment(0) as deployment:
            await start_watched(deployment, 2)
            first, second = deployment.entries
            second.stop.set()
            await asyncio.wait([second.task])
            assert deployment.peers() == {"entry-0"}
            assert await deployment.is_ready(first)
