"""Test what holds the owner's rounds, and for how long.

While a round waits, no task starts, although upstreams have room.
"""

import asyncio
import json

from baobablane.scheduling._planning import MAX_STARTS_PER_ROUND
from baobablane.scheduling.tests.fleet_model import CORE
from baobablane_platform import UPSTREAM_TOPIC

from baobablane_daemon.jobs import PROGRESS_TOPIC
from baobablane_daemon.owner._owner import MAX_IDLE_SECONDS
from baobablane_daemon.owner._progress_writer import HEARTBEAT_INTERVAL_SECONDS

from ...jobs.tests.scripted_store import answer_after
from ...jobs.tests.virtual_time import run_in_virtual_time
from .owner_model import UPSTREAM, run_owner

JOB_IDS = [f"{number:016x}" for number in range(1, 9)]


class TestHeldRounds:
    """Test that a round that is held for long can be told from the log."""

    def test_round_that_waits_for_the_store_is_logged(self):
        """Guards against a standstill that no line explains."""

        async def scenario():
            async with run_owner() as model:
                model.store.append_fault_by_topic[PROGRESS_TOPIC] = answer_after(1.2)
                await model.seconds_until_start(JOB_IDS[0], 3.0)
                (line, *_) = model.lines("round-held")
                assert line["step"] == "record"
                assert line["step_seconds"] > HEARTBEAT_INTERVAL_SECONDS
                assert line["step_seconds"] <= line["seconds"]

        run_in_virtual_time(scenario())

    def test_round_of_a_fast_store_is_counted_but_not_logged(self):
        """Guards against a line for each round."""

        async def scenario():
            async with run_owner() as model:
                await model.seconds_until_start(JOB_IDS[0], 3.0)
                await asyncio.sleep(1.0)
                assert model.lines("round-held") == []
                # One each 0.1 s at least.
                registry = model.log.metrics.registry
                name = "baobablane_round_seconds_count"
                assert registry.get_sample_value(name) >= 10

        run_in_virtual_time(scenario())


class TestLargeRounds:
    """Test an owner that finds more tasks than one round may start."""

    def test_next_round_follows_at_once(self):
        """Guards against a pause after each part of a large backlog."""
        jobs = 3 * MAX_STARTS_PER_ROUND

        def prepare(model):
            capacity = {"cpu": jobs * CORE, "memMb": jobs * 100, "gpu": 0}
            model.store.put(
                UPSTREAM_TOPIC,
                "u",
                json.dumps(UPSTREAM | {"capacity": capacity}).encode(),
            )
            for number in range(jobs):
                model.put_job(f"{number:016x}")

        async def scenario():
            async with run_owner(prepare) as model:
                times = model.upstream.started_at_by_job.values()
                assert len(times) == jobs
                assert max(times) - min(times) < MAX_IDLE_SECONDS

        run_in_virtual_time(scenario())
