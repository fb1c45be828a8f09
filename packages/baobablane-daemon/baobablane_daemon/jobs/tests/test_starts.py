"""Test instances that start while the store is away.

All instances that were started in an outage rejected every request for up to 3 s after
the store's return, since a read of the newest records that was sent into the outage was
still waited for.
"""

import asyncio
import itertools
from contextlib import asynccontextmanager

import pytest
from baobablane_platform import OPERATOR_TOPIC

from baobablane_daemon.jobs import (
    JOBS_TOPIC,
    PROGRESS_TOPIC,
    STATES_TOPIC,
    register_state_reader,
)

from .._store_health import find_store_fault
from .caller import Caller, put_deployment
from .scripted_link import CALL_SECONDS, LinkedStore
from .scripted_store import ScriptedStore, hang
from .virtual_time import run_in_virtual_time

FOREVER_SECONDS = 3600.0
# One read that is given up, a pause, and the reads that bring the records.
KNOWS_WITHIN_SECONDS = 1.1
CHECK_SECONDS = 0.01
# A wait that only a fault ends.
HANG_SECONDS = 60.0


@asynccontextmanager
async def start_instance(store, follows_progress=True):
    """Start an instance without waiting for anything; yield its caller."""
    put_deployment(store)
    caller = Caller(follows_progress, store)
    caller.accept_elsewhere()
    tasks = [
        asyncio.create_task(caller.views.run()),
        asyncio.create_task(caller.job_writer.run()),
        asyncio.create_task(
            register_state_reader(
                "entry-0", caller.views, caller.job_writer, caller.log
            )
        ),
    ]
    try:
        yield caller
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


async def wait_until(condition):
    """Wait until a condition holds; return the seconds that it took."""
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    while not condition():
        assert loop.time() - started_at < HANG_SECONDS
        await asyncio.sleep(CHECK_SECONDS)
    return loop.time() - started_at


class TestSilentStore:
    """Test instances that start while the store accepts calls and answers none."""

    @pytest.mark.parametrize("follows_progress", [True, False])
    @pytest.mark.parametrize("away_seconds", [0.3, 1.0, 2.2, 3.5, 5.0, 7.7])
    def test_instance_answers_soon_after_the_return(
        self, follows_progress, away_seconds
    ):
        """Guards against a call from the outage that is waited for after it."""

        async def scenario():
            store = LinkedStore()
            store.head_seconds = FOREVER_SECONDS
            async with start_instance(store, follows_progress) as caller:
                await asyncio.sleep(away_seconds)
                assert not caller.actions.is_ready()
                store.head_seconds = CALL_SECONDS
                assert await wait_until(caller.actions.is_ready) <= KNOWS_WITHIN_SECONDS
                status, body, _ = await caller.call("GET")
                assert (status, body) == (200, {"state": "pending"})
                assert caller.shown_age is None
                assert (await caller.call("GET", job_id="f" * 16))[0] == 410
            await store.close()

        run_in_virtual_time(scenario())

    def test_slow_newest_records_are_waited_for(self):
        """Guards against a store that collects its records in vain."""

        async def scenario():
            store = LinkedStore()
            store.newest_seconds = 2.5
            async with start_instance(store) as caller:
                await wait_until(caller.actions.is_ready)
                assert caller.views.jobs_tail._failed_reads == 0
            await store.close()

        run_in_virtual_time(scenario())


class TestReaderRegistration:
    """Test the append by which an instance with a narrow link asks for states."""

    def test_nothing_is_appended_to_a_silent_store(self):
        """Guards against new jobs that are rejected for an append in the outage."""

        async def scenario():
            store = ScriptedStore()
            store.hang_all()
            async with start_instance(store, follows_progress=False) as caller:
                await asyncio.sleep(5.0)
                assert store.append_count == 0
                store.recover()
                await wait_until(lambda: caller.views.state_readers)
                forecast = caller.job_writer.forecast
                assert find_store_fault(caller.views, forecast) == ""

        run_in_virtual_time(scenario())


class TestReadiness:
    """Test that an instance takes callers only once it knows what they ask for."""

    @pytest.mark.parametrize("follows_progress", [True, False])
    @pytest.mark.parametrize("order", list(itertools.permutations(range(3))))
    def test_instance_is_ready_once_the_last_topic_is_read(
        self, follows_progress, order
    ):
        async def scenario():
            state_topic = PROGRESS_TOPIC if follows_progress else STATES_TOPIC
            topics = (OPERATOR_TOPIC, JOBS_TOPIC, state_topic)
            store = ScriptedStore()
            for topic in topics:
                store.fault_by_topic[topic] = hang
            async with start_instance(store, follows_progress) as caller:
                for number in order:
                    # Several reads fail meanwhile.
                    for _ in range(70):
                        await asyncio.sleep(0.1)
                        assert not caller.actions.is_ready()
                    del store.fault_by_topic[topics[number]]
                await wait_until(caller.actions.is_ready)
                assert (await caller.call("GET"))[0] == 200

        run_in_virtual_time(scenario())
