"""Test an owner that takes over more jobs than it can add in a moment."""

import asyncio

import pytest
from baobablane_platform import UPSTREAM_TOPIC

from baobablane_daemon.jobs import (
    OWNER_HEARTBEAT_KEY,
    PROGRESS_TOPIC,
    Views,
    boot_seconds,
)
from baobablane_daemon.owner import Candidacy, Ownership
from baobablane_daemon.owner._candidacy import HEARTBEAT_TIMEOUT_SECONDS
from baobablane_daemon.owner._ownership import (
    CHECK_INTERVAL_SECONDS,
    ERROR_BACKOFF_SECONDS,
    MAX_UNCONFIRMED_SECONDS,
)

from ...jobs.tests.scripted_store import answer_after, hang
from ...jobs.tests.virtual_time import run_in_virtual_time
from .owner_model import run_owner

JOBS = 3000
JOB_ID = "f" * 16
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


def lose_first_answer(model):
    """Lose the first answer to the reads of the upstreams."""
    calls = []

    async def fault(stall_seconds, on_data):
        calls.append(None)
        answer = hang if len(calls) == 1 else answer_after(0.01)
        await answer(stall_seconds, on_data)

    model.store.fault_by_topic[UPSTREAM_TOPIC] = fault


async def arrive_slowly(stall_seconds, on_data):
    """Send a large response for longer than a topic may be silent."""
    for number in range(1, 31):
        await asyncio.sleep(0.2)
        on_data(50_000 * number)


def lose_all_answers(model):
    """Lose all answers to the reads of the upstreams."""
    model.store.fault_by_topic[UPSTREAM_TOPIC] = hang


async def run_another(model):
    """Run an instance beside the owner; return its ownership and its tasks."""
    views = Views(model.store, model.log)
    candidacy = Candidacy(
        "entry-1-1",
        True,
        lambda: views.owner_heartbeat,
        views.progress_tail.age,
        boot_seconds(),
    )
    ownership = Ownership(model.store, views, model.log, "entry-1-1", True, candidacy)
    tasks = [asyncio.create_task(views.run()), asyncio.create_task(ownership.run())]
    return ownership, tasks


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

    def test_lost_answer_does_not_outlast_the_first_heartbeat(self):
        """Guards against another claim while the takeover reads once more."""

        async def scenario():
            async with run_owner(lose_first_answer) as model:
                await asyncio.sleep(2.0)
                first = min(
                    at
                    for at, _, key, _ in model.store.stored
                    if key == OWNER_HEARTBEAT_KEY
                )
                assert first - model.began_at < HEARTBEAT_TIMEOUT_SECONDS

        run_in_virtual_time(scenario())


class TestSilentTopic:
    """Test an owner that can write, and can't read a topic."""

    def test_lost_answer_delays_no_start(self):
        """Guards against an owner that keeps the ownership and places nothing."""

        def prepare(model):
            model.put_job(JOB_ID)
            lose_first_answer(model)

        async def scenario():
            async with run_owner(prepare) as model:
                started_at = model.upstream.started_at_by_job[JOB_ID]
                assert started_at - model.began_at < 1.0

        run_in_virtual_time(scenario())

    def test_ownership_is_handed_over(self):
        """Guards against heartbeats that keep others from the ownership."""

        async def scenario():
            async with run_owner(lose_all_answers) as model:
                model.ownership._candidacy.should_claim = lambda now: True
                another, tasks = await run_another(model)
                await asyncio.wait([model.task])
                assert boot_seconds() - model.began_at <= (
                    MAX_UNCONFIRMED_SECONDS + 2 * CHECK_INTERVAL_SECONDS
                )
                heartbeats = [
                    record.value
                    for record in model.store.records_by_topic[PROGRESS_TOPIC]
                    if record.key == OWNER_HEARTBEAT_KEY
                ]
                assert b'"is_leaving":true' in heartbeats[-1]
                await asyncio.sleep(HEARTBEAT_TIMEOUT_SECONDS / 2)
                assert another.epoch == 2
                # It leaves the ownership to others for a while.
                assert model.ownership.epoch is None
                await asyncio.sleep(ERROR_BACKOFF_SECONDS - 1.0)
                assert model.ownership.epoch is None
                for task in tasks:
                    task.cancel()
                await asyncio.gather(*tasks, return_exceptions=True)

        run_in_virtual_time(scenario())


class TestSlowStore:
    """Test an owner whose reads all take long, as those of any other would."""

    @pytest.mark.parametrize("fault", [answer_after(0.8), arrive_slowly])
    def test_first_owner_takes_over(self, fault):
        """Guards against owners that give up in turn while all reads take long."""

        def prepare(model):
            model.store.fault_by_topic[UPSTREAM_TOPIC] = fault
            model.store.append_fault_by_topic[PROGRESS_TOPIC] = answer_after(0.4)

        async def scenario():
            async with run_owner(prepare) as model:
                another, tasks = await run_another(model)
                await asyncio.sleep(20.0)
                assert len(model.lines("taken-over")) == 1
                assert model.ownership.epoch == 1
                assert another.epoch is None
                for task in tasks:
                    task.cancel()
                await asyncio.gather(*tasks, return_exceptions=True)

        run_in_virtual_time(scenario())
