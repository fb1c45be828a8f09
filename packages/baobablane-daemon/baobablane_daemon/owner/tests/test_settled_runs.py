"""Test that a new owner does not suspect runs that settled under an earlier one.

A restored run was confirmed by the takeover, so that each run of an upstream which the
new owner never reached was suspected of its crash, and needed a trial.
"""

import asyncio

import pytest
from baobablane.jobs import TaskId

from .owner_chain_model import Reach, run_chain, run_with_clocks

JOB = "00000000000000a1"
TASKS = [TaskId(JOB, 0, 0, position) for position in range(15)]
# The platform's bound for a long-running task, counted from the end of its last run.
MAX_SECONDS_WITHOUT_RUN = 6.0
# Longer than any crash by a start takes.
SETTLED_SECONDS = 4.0
# All lines are written after this time.
LOG_SECONDS = 1.0


def is_running(chain):
    """Return whether all tasks run."""
    return all(chain.place_of(task) for task in TASKS)


async def lose_rack(chain):
    """Cut upstreams with half of the tasks off, until their leases have expired."""
    lost = list(chain.upstreams.values())[:4]
    for upstream in lost:
        upstream.reach = Reach.DARK
    async with asyncio.timeout(10.0):
        while any(upstream.running() for upstream in lost):
            await asyncio.sleep(0.05)


def count_suspects(process):
    """Return how many runs a process noted as suspects of a crash."""
    return sum(b"run-lost" in line for line in process.output.getvalue().splitlines())


class TestRackLostAroundATakeover:
    """Test a rack that is lost while nobody owns, with tasks that had settled."""

    @pytest.mark.parametrize("is_killed", [True, False], ids=["killed", "stopped"])
    @pytest.mark.parametrize("owners", ["b", "a", "bc"])
    def test_tasks_are_tried_one_by_one(self, owners, is_killed):
        """Guards against tasks that wait for trials though they had run for seconds."""

        async def scenario():
            async with run_chain(6) as chain:
                chain.put_long_running_job(JOB, len(TASKS))
                process = await chain.begin_owner("a")
                async with asyncio.timeout(10.0):
                    while not is_running(chain):
                        await asyncio.sleep(0.05)
                await asyncio.sleep(SETTLED_SECONDS)
                await (process.kill() if is_killed else process.stop())
                losing = asyncio.ensure_future(lose_rack(chain))
                for owner in owners:
                    await asyncio.sleep(0.5)
                    await process.kill()
                    process = await chain.begin_owner(owner)
                await losing
                began_at = asyncio.get_running_loop().time()
                async with asyncio.timeout(30.0):
                    while not is_running(chain):
                        await asyncio.sleep(0.05)
                seconds = asyncio.get_running_loop().time() - began_at
                assert seconds < MAX_SECONDS_WITHOUT_RUN
                await asyncio.sleep(LOG_SECONDS)
                assert count_suspects(process) == 0
                assert not chain.double_runs

        run_with_clocks(scenario())

    def test_run_that_had_just_started_is_suspected(self):
        """Guards against a deadly task that a change of owner clears."""

        async def scenario():
            async with run_chain(6) as chain:
                chain.put_long_running_job(JOB, len(TASKS))
                process = await chain.begin_owner("a")
                async with asyncio.timeout(10.0):
                    while not is_running(chain):
                        await asyncio.sleep(0.01)
                await process.kill()
                losing = asyncio.ensure_future(lose_rack(chain))
                process = await chain.begin_owner("b")
                await losing
                async with asyncio.timeout(30.0):
                    while not is_running(chain):
                        await asyncio.sleep(0.05)
                await asyncio.sleep(LOG_SECONDS)
                assert count_suspects(process) > 0

        run_with_clocks(scenario())
