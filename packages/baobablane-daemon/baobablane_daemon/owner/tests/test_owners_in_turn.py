"""Test how long tasks of an upstream that nobody reaches wait while owners change."""

import asyncio
from random import Random

import pytest
from baobablane.jobs import TaskId
from baobablane.scheduling import KILL_SECONDS, SLOWEST_CLOCK_RATE

from .owner_chain_model import Reach, run_chain, run_with_clocks

JOB = "00000000000000a1"
TASK = TaskId(JOB, 0, 0, 0)
# The platform's bound for a long-running task, counted from the end of its last run.
MAX_SECONDS_WITHOUT_RUN = 6.0
# An instance restarts a process after this time.
RESTART_SECONDS = 1.0
# Nobody owns for this time if all instances are killed at once.
ALL_KILLED_SECONDS = 1.7
# Such a kill leaves this much of the platform's bound for all else.
MAX_SECONDS_AFTER_ONE_KILL = 5.0


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
    @pytest.mark.parametrize("reach", [Reach.NO_RESPONSES, Reach.DARK, Reach.RESET])
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

    @pytest.mark.parametrize("seconds", [-0.5, -0.1, 0.05, 0.5])
    @pytest.mark.parametrize("reach", [Reach.NO_RESPONSES, Reach.DARK, Reach.RESET])
    def test_all_instances_are_killed_at_once(self, reach, seconds):
        """Guards against a bound that counts the time in which nobody owned.

        The process that replaces the owner starts so long after the next one's claim.
        """

        async def scenario():
            async with run_chain() as chain:
                chain.put_long_running_job(JOB)
                process = await chain.begin_owner("a")
                chain.upstreams[await wait_for_run(chain)].reach = reach
                await asyncio.sleep(0.6)
                await process.kill()
                await asyncio.sleep(ALL_KILLED_SECONDS + min(0.0, seconds))
                if seconds < 0:
                    await chain.begin_bystander("a")
                await asyncio.sleep(max(0.0, -seconds))
                await chain.begin_owner("b")
                if seconds > 0:
                    await asyncio.sleep(seconds)
                    await chain.begin_bystander("a")
                await wait_for_lapse(chain)
                seconds_without_run = await chain.time_without_run(TASK, 30.0)
                assert seconds_without_run < MAX_SECONDS_AFTER_ONE_KILL
                assert not chain.double_runs

        run_with_clocks(scenario())

    def test_upstream_that_only_the_old_owner_regains(self):
        """Guards against a lease beside a stored heartbeat that rules it out."""

        async def scenario():
            async with run_chain() as chain:
                chain.put_long_running_job(JOB)
                process = await chain.begin_owner("a")
                name = await wait_for_run(chain)
                chain.upstreams[name].reach = Reach.RESET
                while process.owner._lease_record.may_grant(name):
                    await asyncio.sleep(0.01)
                await asyncio.sleep(0.05)
                process.store.is_cut = True
                process.reach_by_upstream[name] = Reach.WELL
                assert chain.place_of(TASK) == name
                await asyncio.sleep(0.5)
                await chain.begin_owner("b")
                await asyncio.sleep(10.0)
                assert len(chain.starts) > 1
                assert not chain.double_runs

        run_with_clocks(scenario())


async def isolate(chain, process, name):
    """Cut an owner and one upstream off from all others, but not from each other."""
    for other in chain.upstreams:
        process.reach_by_upstream[other] = Reach.DARK
    process.reach_by_upstream[name] = Reach.WELL
    chain.upstreams[name].reach = Reach.RESET
    process.store.is_cut = True


class TestIsolatedOwners:
    """Test an owner that goes on renewing leases where no other reaches it."""

    @pytest.mark.parametrize("is_killed", [True, False], ids=["killed", "stopped"])
    @pytest.mark.parametrize("next_instance", ["b", "c"])
    @pytest.mark.parametrize("phase", range(5))
    def test_owner_between_it_and_the_next_lasts_for_a_moment(
        self, is_killed, next_instance, phase
    ):
        """Guards against two runs: the one between never had a lease to renew."""

        async def scenario():
            async with run_chain(2, SLOWEST_CLOCK_RATE) as chain:
                chain.put_long_running_job(JOB)
                process = await chain.begin_owner("a")
                name = await wait_for_run(chain)
                await asyncio.sleep(1.0 + 0.19 * phase)
                await isolate(chain, process, name)
                await asyncio.sleep(0.6)
                process = await chain.begin_owner("b")
                await asyncio.sleep(0.8)
                await (process.kill() if is_killed else process.stop())
                await asyncio.sleep(0.5)
                await chain.begin_owner(next_instance)
                await asyncio.sleep(12.0)
                assert len(chain.starts) > 1
                assert not chain.double_runs

        run_with_clocks(scenario())

    @pytest.mark.parametrize("is_killed", [True, False], ids=["killed", "stopped"])
    @pytest.mark.parametrize("instance", ["a", "b"])
    @pytest.mark.parametrize("seconds", [-5.0, 0.4, 2.0, 5.0])
    def test_clock_is_stepped(self, seconds, instance, is_killed):
        """Guards against two runs: a heartbeat seemed to be older than it was."""
        steps = [0.0]

        async def scenario():
            async with run_chain(2, SLOWEST_CLOCK_RATE) as chain:
                chain.put_long_running_job(JOB)
                process = await chain.begin_owner("a")
                name = await wait_for_run(chain)
                await asyncio.sleep(10.0)
                chain.upstreams[name].reach = Reach.RESET
                await (process.kill() if is_killed else process.stop())
                steps[0] = seconds
                await asyncio.sleep(0.2)
                await chain.begin_owner(instance)
                await asyncio.sleep(12.0)
                assert len(chain.starts) > 1
                assert not chain.double_runs
                at = chain.starts[-1][0]
                assert at > chain.upstreams[name].lapsed_by() + KILL_SECONDS

        run_with_clocks(scenario(), lambda: steps[0])

    @pytest.mark.parametrize("phase", range(20))
    def test_claim_soon_after_its_last_heartbeat(self, phase):
        """Guards against two runs: it renews leases for 4 s after its confirmation."""

        async def scenario():
            async with run_chain(2, SLOWEST_CLOCK_RATE) as chain:
                chain.put_long_running_job(JOB)
                process = await chain.begin_owner("a")
                name = await wait_for_run(chain)
                await asyncio.sleep(1.0 + 0.05 * phase)
                await isolate(chain, process, name)
                await asyncio.sleep(0.05)
                await chain.begin_owner("b")
                await asyncio.sleep(12.0)
                assert len(chain.starts) > 1
                assert not chain.double_runs
                at = chain.starts[-1][0]
                assert at > chain.upstreams[name].lapsed_by() + KILL_SECONDS

        run_with_clocks(scenario())


class TestRegistrations:
    """Test what processes tell that replace others, beside owners that go on."""

    @pytest.mark.parametrize("is_registered", [True, False])
    @pytest.mark.parametrize("phase", range(5))
    def test_owner_that_goes_on_registered_before_it(self, phase, is_registered):
        """Guards against two runs: the owner's own registration shows no end of it."""

        async def scenario():
            async with run_chain(2, SLOWEST_CLOCK_RATE) as chain:
                chain.put_long_running_job(JOB)
                # It, or an earlier process, has registered.
                await chain.begin_bystander("a")
                await asyncio.sleep(1.0)
                process = await chain.begin_owner("a")
                if not is_registered:
                    process.tasks.pop().cancel()
                name = await wait_for_run(chain)
                await asyncio.sleep(1.0 + 0.19 * phase)
                if is_registered:
                    # Once more, now that it has read its own claim.
                    await process.register()
                await isolate(chain, process, name)
                await chain.begin_owner("b")
                await chain.begin_bystander("c")
                await asyncio.sleep(12.0)
                assert len(chain.starts) > 1
                assert not chain.double_runs
                at = chain.starts[-1][0]
                assert at > chain.upstreams[name].lapsed_by() + KILL_SECONDS

        run_with_clocks(scenario())

    @pytest.mark.parametrize("seconds", [0.05, 0.5, 1.5, 2.5, 3.5])
    def test_owner_goes_on_until_it_is_replaced(self, seconds):
        """Guards against two runs: it renews leases until just before its end."""

        async def scenario():
            async with run_chain(2, SLOWEST_CLOCK_RATE) as chain:
                chain.put_long_running_job(JOB)
                process = await chain.begin_owner("a")
                name = await wait_for_run(chain)
                await asyncio.sleep(1.0)
                await isolate(chain, process, name)
                await asyncio.sleep(0.5)
                await chain.begin_owner("b")
                await asyncio.sleep(seconds)
                await chain.begin_bystander("a")
                await asyncio.sleep(12.0)
                assert len(chain.starts) > 1
                assert not chain.double_runs
                at = chain.starts[-1][0]
                assert at > chain.upstreams[name].lapsed_by() + KILL_SECONDS

        run_with_clocks(scenario())


REACHES = (Reach.WELL, Reach.WELL, Reach.NO_RESPONSES, Reach.DARK, Reach.RESET)
TASKS = [TaskId(JOB, 0, 0, position) for position in range(4)]


class TestRandomOwners:
    """Test owners that are killed, stopped or cut off from the store in turn.

    Each reaches some upstreams, and their clocks are as slow as they may be.
    """

    @pytest.mark.parametrize("seed", range(25))
    def test_no_task_runs_twice(self, seed):
        """Guards against a bound that is over before the leases are."""
        random = Random(seed)
        # Drawn apart, so that the owners don't depend on them.
        bystanders = Random(seed)

        async def start_bystander(chain, process):
            instance = bystanders.choice("abcd")
            if instance != process.ownership.instance:
                await chain.begin_bystander(instance)

        async def end_owner(process):
            kind = random.choice(("kill", "stop", "cut"))
            if kind == "cut":
                # It goes on renewing leases for a while.
                process.store.is_cut = True
            else:
                await (process.kill() if kind == "kill" else process.stop())

        async def change_reach(chain, process):
            name = random.choice(list(chain.upstreams))
            if random.random() < 0.5:
                chain.upstreams[name].reach = random.choice(REACHES)
            else:
                process.reach_by_upstream[name] = random.choice(REACHES)

        async def scenario():
            async with run_chain(3, SLOWEST_CLOCK_RATE) as chain:
                chain.put_long_running_job(JOB, len(TASKS))
                process = await chain.begin_owner("a")
                await wait_for_run(chain)
                for _ in range(12):
                    await asyncio.sleep(random.expovariate(1.0))
                    await change_reach(chain, process)
                    await asyncio.sleep(random.expovariate(0.7))
                    if random.random() < 0.6:
                        await end_owner(process)
                        await asyncio.sleep(random.uniform(0.05, RESTART_SECONDS))
                        reach_by_upstream = {
                            name: random.choice(REACHES)
                            for name in chain.upstreams
                            if random.random() < 0.3
                        }
                        process = await chain.begin_owner(
                            random.choice("abc"), reach_by_upstream
                        )
                        if bystanders.random() < 0.5:
                            await asyncio.sleep(bystanders.uniform(0.0, 1.0))
                            await start_bystander(chain, process)
                assert not chain.double_runs
                for upstream in chain.upstreams.values():
                    upstream.reach = Reach.WELL
                process.reach_by_upstream.clear()
                await asyncio.sleep(MAX_SECONDS_WITHOUT_RUN)
                assert all(chain.place_of(task) for task in TASKS)
                assert not chain.double_runs

        run_with_clocks(scenario())
