"""Test how long tasks of an upstream that nobody reaches wait while owners change."""

import asyncio

import pytest
from baobablane.jobs import TaskId

from .owner_chain_model import Reach, run_chain, run_with_clocks

JOB = "00000000000000a1"
TASK = TaskId(JOB, 0, 0, 0)
# The platform's bound for a long-running task, counted from the end of its last run.
MAX_SECONDS_WITHOUT_RUN = 6.0
# An instance restarts a process after this time.
RESTART_SECONDS = 1.0


async def wait_for_run(chain):
    """Return the name of the upstream that runs the task."""
    async with asyncio.timeout(10.0):
        while (name := chain.place_of(TASK)) is None:
            await asyncio.sleep(0.05)
    return name


async def wait_for_lapse(chain):
    """Wait until nothing runs the task."""
    async with asyncio.timeout(10.0):
        while chain.place_of(TASK) is not None:
            await asyncio.sleep(0.05)


class TestOwnersInTurn:
    """Test a long-running task on an upstream that is unreachable for all owners."""

    @pytest.mark.parametrize("is_killed", [True, False], ids=["killed", "stopped"])
    @pytest.mark.parametrize("instances", ["a", "b", "aaaa", "abca"])
    @pytest.mark.parametrize("reach", [Reach.NO_RESPONSES, Reach.DARK])
    def test_each_owner_waits_anew(self, reach, instances, is_killed):
        """Guards against a task that nothing runs as long as owners change.

        Each owner counted the leases of an upstream that it had never reached from its
        own takeover, though only an owner that reaches it can renew them.
        """

        async def replace_owners(chain, process):
            for instance in instances:
                await (process.kill() if is_killed else process.stop())
                await asyncio.sleep(RESTART_SECONDS)
                process = await chain.begin_owner(instance)
                await asyncio.sleep(3.0)

        async def scenario():
            async with run_chain() as chain:
                chain.put_long_running_job(JOB)
                process = await chain.begin_owner("a")
                chain.upstreams[await wait_for_run(chain)].reach = reach
                await asyncio.sleep(0.6)
                replacing = asyncio.ensure_future(replace_owners(chain, process))
                await wait_for_lapse(chain)
                seconds = await chain.time_without_run(TASK, 30.0)
                await replacing
                assert seconds < MAX_SECONDS_WITHOUT_RUN
                assert not chain.double_runs

        run_with_clocks(scenario())
