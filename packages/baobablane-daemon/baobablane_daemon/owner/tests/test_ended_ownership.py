"""Test that an owner ends with its ownership, whatever it waits for.

An owner that waited on went on for seconds beside the next one, and could not become
the owner again meanwhile.
"""

import asyncio

import pytest
from baobablane_platform import UPSTREAM_TOPIC, StoreFencedError, UpstreamFencedError

from baobablane_daemon.jobs import (
    OWNER_HEARTBEAT_KEY,
    PROGRESS_TOPIC,
    boot_seconds,
)
from baobablane_daemon.owner._ownership import (
    CHECK_INTERVAL_SECONDS,
    MAX_UNCONFIRMED_SECONDS,
)
from baobablane_daemon.owner._progress_writer import LEAVE_TIMEOUT_SECONDS

from ...jobs.tests.scripted_store import answer_after, fail_with, hang
from ...jobs.tests.virtual_time import run_in_virtual_time
from .owner_model import run_owner

JOB_ID = "f" * 16


async def seconds_until_end(model, max_seconds=60.0):
    """Return for how long the owner goes on."""
    began_at = boot_seconds()
    await asyncio.wait([model.task], timeout=max_seconds)
    return boot_seconds() - began_at


class TestWrites:
    """Test an owner that waits until the store has stored its records."""

    @pytest.mark.parametrize("has_work", [False, True])
    def test_unconfirmed_owner_ends_its_round(self, has_work):
        """Guards against an owner that waits in a write beside the next owner."""

        async def scenario():
            async with run_owner() as model:
                model.store.append_fault_by_topic[PROGRESS_TOPIC] = hang
                if has_work:
                    model.put_job(JOB_ID)
                bound = MAX_UNCONFIRMED_SECONDS + 2 * CHECK_INTERVAL_SECONDS
                assert await seconds_until_end(model) <= bound
                assert model.task.exception() is None
                (line,) = model.lines("owner-ended")
                assert line["reason"] == "unconfirmed"
                (line,) = model.lines("round-held")
                assert line["step"] == "record"
                assert line["seconds"] <= bound

        run_in_virtual_time(scenario())

    def test_owner_fenced_by_an_upstream_ends_its_round(self):
        """Guards against an owner that learns of a newer one and waits on."""

        async def scenario():
            async with run_owner() as model:
                model.store.append_fault_by_topic[PROGRESS_TOPIC] = hang
                await asyncio.sleep(1.0)
                model.upstream.error = UpstreamFencedError("u")
                # The poll in progress ends after 2 s.
                assert await seconds_until_end(model) <= 2.0
                (line,) = model.lines("owner-ended")
                assert line["reason"].startswith("fenced")

        run_in_virtual_time(scenario())

    def test_owner_fenced_by_the_store_ends_its_round(self):
        """Guards against an owner that goes on after the answer to its write."""

        async def scenario():
            async with run_owner() as model:
                model.store.append_fault_by_topic[PROGRESS_TOPIC] = fail_with(
                    StoreFencedError("epoch 1 is fenced")
                )
                assert await seconds_until_end(model) <= 1.0
                assert model.task.exception() is None

        run_in_virtual_time(scenario())


class TestTakeover:
    """Test an owner that has not read the store yet."""

    def test_unconfirmed_owner_ends_its_takeover(self):
        """Guards against a takeover that goes on after its ownership."""

        async def scenario():
            def prepare(model):
                model.store.fault_by_topic[UPSTREAM_TOPIC] = hang

            async with run_owner(prepare) as model:
                await seconds_until_end(model)
                assert boot_seconds() - model.began_at <= (
                    MAX_UNCONFIRMED_SECONDS + 2 * CHECK_INTERVAL_SECONDS
                )
                assert model.lines("taken-over") == []

        run_in_virtual_time(scenario())


class TestStop:
    """Test an owner whose process stops."""

    @pytest.mark.parametrize("seconds", [0.01, 0.2])
    def test_end_is_announced_after_the_write_on_its_way(self, seconds):
        """Guards against two records under one sequence number."""

        async def scenario():
            async with run_owner() as model:
                fault = answer_after(seconds)
                model.store.append_fault_by_topic[PROGRESS_TOPIC] = fault
                model.put_job(JOB_ID)
                await asyncio.sleep(0.45)
                model.ownership.stop()
                assert await seconds_until_end(model) <= LEAVE_TIMEOUT_SECONDS
                appends = model.store.progress_appends
                records_by_number = dict(appends)
                assert list(records_by_number) == sorted(records_by_number)
                assert all(records_by_number[n] == records for n, records in appends)
                assert appends[-1][1][0].key == OWNER_HEARTBEAT_KEY
                assert b'"is_leaving":true' in appends[-1][1][0].value

        run_in_virtual_time(scenario())

    def test_silent_store_delays_the_stop_by_a_bounded_time(self):
        """Guards against a process that is killed since it doesn't stop."""

        async def scenario():
            async with run_owner() as model:
                model.store.append_fault_by_topic[PROGRESS_TOPIC] = hang
                await asyncio.sleep(1.0)
                model.ownership.stop()
                assert await seconds_until_end(model) <= LEAVE_TIMEOUT_SECONDS + 0.01

        run_in_virtual_time(scenario())
