"""Test that jobs go on while entry instances are stopped as planned."""

import asyncio
from types import SimpleNamespace

import pytest
from baobablane.deployment import PlatformLimits
from baobablane_standin.platform._deployment import HOST

from baobablane_daemon._platform_process import (
    BALANCER_DETECTION_SECONDS,
    _owner_seconds,
)
from baobablane_daemon.jobs import (
    OWNER_HEARTBEAT_KEY,
    PROGRESS_TOPIC,
    decode_owner_heartbeat,
    holder_instance,
)
from baobablane_daemon.owner import LEAVE_TIMEOUT_SECONDS

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


def latest_heartbeat(deployment):
    """Return the latest heartbeat of an owner in the store."""
    newest = deployment.platform.store.partition(PROGRESS_TOPIC, 0).newest
    _, value = newest[OWNER_HEARTBEAT_KEY]
    return decode_owner_heartbeat(value, None, 0, 0.0)


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

    async def test_owner_stops_after_another_one_is_back(self):
        """Guards against a restart of all after which nobody places for seconds."""
        async with run_deployment(0) as deployment:
            await start_watched(deployment, 2)
            heartbeat = latest_heartbeat(deployment)
            names = [f"entry-{number}" for number in range(2)]
            owning = names.index(holder_instance(heartbeat.holder))
            owner, other = deployment.entries[owning], deployment.entries[1 - owning]
            for each in deployment.entries:
                each.stop.set()
            await asyncio.wait([other.task])
            assert not latest_heartbeat(deployment).is_leaving
            assert not owner.task.done()
            await deployment.start_entry(
                names[1 - owning], feed_address=f"{HOST}:{find_free_port()}"
            )
            await asyncio.wait([owner.task])

            async def has_successor():
                return latest_heartbeat(deployment).epoch > heartbeat.epoch

            await deployment.wait_for(has_successor)

    async def test_stopped_instance_is_no_successor(self):
        """Guards against an ownership that is handed to instances that stop as well."""
        async with run_deployment(0) as deployment:
            await start_watched(deployment, 2)
            first, second = deployment.entries
            second.stop.set()
            await asyncio.wait([second.task])
            assert deployment.peers() == {"entry-0"}
            assert await deployment.is_ready(first)


class TestBounds:
    """Test how long a stopping owner waits for others."""

    @staticmethod
    def owner_seconds(has_seen_others):
        """Return it for a stop grace period of 6 s."""
        settings = SimpleNamespace(limits=PlatformLimits(stop_grace_seconds=6.0))
        return _owner_seconds(
            settings, SimpleNamespace(has_seen_others=has_seen_others)
        )

    def test_only_instance_is_back_as_soon_as_it_can(self):
        """Guards against a wait for others where there are none."""
        assert self.owner_seconds(False) < BALANCER_DETECTION_SECONDS

    def test_it_ends_within_the_grace_period(self):
        """Guards against an owner that is killed before it has announced its end."""
        assert self.owner_seconds(True) + LEAVE_TIMEOUT_SECONDS < 6.0
