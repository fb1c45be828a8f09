"""Test that each cancellation ends before its caller gives up.

A caller that got no answer doesn't know whether its job still runs.
"""

import asyncio

import pytest
from baobablane_platform import KeyedRecord, StoreRejectedError

from baobablane_daemon.jobs import (
    JOBS_TOPIC,
    PROGRESS_TOPIC,
    STATES_TOPIC,
)
from baobablane_daemon.jobs._views import CANCEL_PREFIX

from .caller import JOB_ID, run_instance
from .scripted_store import answer_after, fail_with, hang
from .virtual_time import run_in_virtual_time

# Leaves time for one attempt at another instance.
BOUND_SECONDS = 2.4


def is_cancellation_stored(caller):
    """Return whether the store has the cancellation of the job."""
    records = caller.store.records_by_topic[JOBS_TOPIC]
    return any(record.key == CANCEL_PREFIX + JOB_ID for record in records)


class TestCancellation:
    """Test cancellations while appends or reads have no response."""

    def test_cancellation_is_stored(self):
        async def scenario():
            async with run_instance(has_job=True) as caller:
                status, body, seconds = await caller.call("DELETE")
                # No owner decides here whether the job ends as cancelled.
                assert (status, body) == (200, {"state": "pending"})
                assert seconds <= BOUND_SECONDS
                assert is_cancellation_stored(caller)

        run_in_virtual_time(scenario())

    def test_cancellation_behind_unanswered_appends_ends(self):
        """Guards against a wait for earlier appends, and then for its own."""

        async def scenario():
            async with run_instance(has_job=True) as caller:
                caller.store.append_fault = hang
                records = [KeyedRecord(f"reader/{n}", b"1") for n in range(40)]
                writes = []
                for record in records:
                    write = caller.job_writer.write(record)
                    writes.append(asyncio.gather(write, return_exceptions=True))
                    await asyncio.sleep(0.03)
                status, _, seconds = await caller.call("DELETE")
                await asyncio.gather(*writes)
                assert status == 504
                assert seconds <= BOUND_SECONDS

        run_in_virtual_time(scenario())

    def test_waits_for_the_state_and_the_append_share_one_bound(self):
        async def scenario():
            async with run_instance(follows_progress=False) as caller:
                caller.accept_elsewhere()
                caller.store.fault_by_topic[JOBS_TOPIC] = answer_after(0.85)
                caller.store.fault_by_topic[STATES_TOPIC] = hang
                caller.store.append_fault = hang
                status, _, seconds = await caller.call("DELETE")
                assert status == 504
                assert seconds <= BOUND_SECONDS

        run_in_virtual_time(scenario())

    def test_cancellation_is_stored_after_its_caller_was_answered(self):
        """Guards against a cancellation that is given up with its request."""

        async def scenario():
            async with run_instance(has_job=True) as caller:
                caller.store.append_fault = answer_after(1.5)
                status, _, seconds = await caller.call("DELETE", patience_ms=1000)
                assert status == 504
                assert seconds <= 0.8 + 1e-9
                await asyncio.sleep(2.0)
                assert is_cancellation_stored(caller)
                append_count = caller.store.append_count
                status, body, _ = await caller.call("DELETE")
                assert (status, body) == (200, {"state": "pending"})
                assert caller.store.append_count == append_count

        run_in_virtual_time(scenario())

    def test_lost_store_rejects_at_once(self):
        """Guards against a wait for an append that can't be answered."""

        async def scenario():
            async with run_instance(has_job=True) as caller:
                caller.store.append_fault = hang
                caller.store.fault_by_topic[JOBS_TOPIC] = hang
                await asyncio.sleep(2.0)
                status, _, seconds = await caller.call("DELETE")
                assert status == 503
                assert seconds == 0.0
                assert caller.store.append_count == 0

        run_in_virtual_time(scenario())

    @pytest.mark.parametrize("topic", [JOBS_TOPIC, PROGRESS_TOPIC])
    def test_rejected_append_is_a_rejection(self, topic):
        async def scenario():
            async with run_instance(has_job=True) as caller:
                caller.store.fault_by_topic[topic] = answer_after(0.2)
                rejection = StoreRejectedError("the store returned status 503")
                caller.store.append_fault = fail_with(rejection)
                status, _, seconds = await caller.call("DELETE")
                assert status == 503
                assert seconds <= BOUND_SECONDS

        run_in_virtual_time(scenario())
