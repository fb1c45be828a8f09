"""Replay the loss of an owner while the store is slow for all."""

import asyncio

import pytest

from baobablane_daemon.jobs import boot_seconds

from ...jobs.tests.virtual_time import run_in_virtual_time
from .hand_over_model import Deployment, Link
from .test_hand_over import CALM_SECONDS

# All that are left watch the owner.
COUNT = 4
# As before there were watchers: the timeout of heartbeats, delays and slow calls.
MAX_SECONDS = 3.5


class SlowLink(Link):
    """Take some time for each way."""

    def __init__(self, call_seconds):
        """Take half of `call_seconds` for a way."""
        super().__init__()
        self._call_seconds = call_seconds

    async def pass_through(self, seconds):
        """Wait as a slow call does on its way."""
        await super().pass_through(seconds)
        await asyncio.sleep(self._call_seconds / 2)


class TestSlowStore:
    """Test watchers that can't read the store within 0.2 s."""

    @pytest.mark.parametrize("call_seconds", [0.25, 0.4, 0.6])
    def test_heartbeats_time_out_for_watchers_too(self, call_seconds):
        """Guards against watchers that wait for a quick read while nobody owns."""

        async def play():
            deployment = Deployment(COUNT)
            for instance in deployment.by_name.values():
                instance.start()
            await asyncio.sleep(CALM_SECONDS)
            for instance in deployment.by_name.values():
                instance.store._link = SlowLink(call_seconds)
            await asyncio.sleep(1.0)
            lost_at = boot_seconds()
            deployment.owner().kill()
            await asyncio.sleep(10.0)
            return [at - lost_at for at, _, _ in deployment.owners]

        gaps = [gap for gap in run_in_virtual_time(play()) if gap > 0.0]
        assert gaps
        assert gaps[0] <= MAX_SECONDS
