"""Test an owner that takes over more jobs than it can add in a moment."""

import asyncio

from baobablane_daemon.jobs import OWNER_HEARTBEAT_KEY, boot_seconds
from baobablane_daemon.owner._candidacy import HEARTBEAT_TIMEOUT_SECONDS

from ...jobs.tests.virtual_time import run_in_virtual_time
from .owner_model import run_owner

JOBS = 3000
# As on a processor that other processes use as well.
SECONDS_PER_JOB = 0.001


def slow_down(model):
    """Store jobs, each of which takes some time of the processor to add."""
    for number in range(JOBS):
        model.put_job(f"{number:016x}")
    scheduler = model.owner._scheduler
    add_job = scheduler.add_job

    def add_slowly(job, progress, now):
        asyncio.get_running_loop().freeze(SECONDS_PER_JOB)
        add_job(job, progress, now)

    scheduler.add_job = add_slowly


class TestLongTakeover:
    """Test that others see the new owner before it has added all jobs."""

    def test_heartbeats_are_stored_meanwhile(self):
        """Guards against owners that claim in turn and place nothing.

        Each one has all jobs to add, so the next one's heartbeats time out as well.
        """

        async def scenario():
            async with run_owner(slow_down) as model:
                await asyncio.sleep(JOBS * SECONDS_PER_JOB)
                heartbeats = [
                    at
                    for at, _, key, _ in model.store.stored
                    if key == OWNER_HEARTBEAT_KEY
                ]
                times = [model.began_at, *heartbeats, boot_seconds()]
                gaps = [after - at for at, after in zip(times, times[1:], strict=False)]
                assert max(gaps) < HEARTBEAT_TIMEOUT_SECONDS / 2
                assert model.ownership.epoch == 1

        run_in_virtual_time(scenario())
