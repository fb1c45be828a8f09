"""Test how soon an owner goes on once the store answers again.

The ownership ends 4 s after the last record that was stored, so little is left of it
after a silence of 3 s.
"""

import asyncio
from collections import defaultdict

import pytest

from baobablane_daemon.jobs import PROGRESS_TOPIC, boot_seconds
from baobablane_daemon.jobs._append_forecast import MAX_ONLY_WRITER_DELAY_SECONDS

from ...jobs.tests.scripted_store import answer_after, hang
from ...jobs.tests.virtual_time import run_in_virtual_time
from .owner_model import run_owner

# As the store answers.
CALL_SECONDS = 0.01


def silence(store):
    """Let the store answer no call."""
    store.hang_all()
    store.append_fault_by_topic = defaultdict(lambda: hang)


def regain(store):
    """Let the store answer all calls that are sent from now on."""
    store.fault_by_topic = defaultdict(lambda: answer_after(CALL_SECONDS))
    store.append_fault_by_topic = defaultdict(lambda: answer_after(CALL_SECONDS))


class TestSilence:
    """Test an owner whose store was silent."""

    @pytest.mark.parametrize("seconds", [2.6 + 0.1 * n for n in range(9)])
    def test_next_record_is_stored_once_the_store_is_back(self, seconds):
        """Guards against an interval that outlasts the rest of the ownership."""

        async def scenario():
            async with run_owner() as model:
                silence(model.store)
                await asyncio.sleep(seconds)
                regain(model.store)
                regained_at = boot_seconds()
                await asyncio.sleep(1.0)
                stored_at = min(
                    at
                    for at, topic, _, _ in model.store.stored
                    if topic == PROGRESS_TOPIC and at > regained_at
                )
                bound = MAX_ONLY_WRITER_DELAY_SECONDS + CALL_SECONDS + 1e-6
                assert stored_at <= regained_at + bound
                assert model.ownership.epoch == 1

        run_in_virtual_time(scenario())

    def test_no_number_is_used_for_other_records(self):
        """Guards against a record that the store takes for the one before it."""

        async def scenario():
            async with run_owner() as model:
                silence(model.store)
                await asyncio.sleep(3.0)
                regain(model.store)
                await asyncio.sleep(1.5)
                appends = model.store.progress_appends
                records_by_number = dict(appends)
                assert list(records_by_number) == sorted(records_by_number)
                assert all(records_by_number[n] == records for n, records in appends)
                assert model.ownership.epoch == 1

        run_in_virtual_time(scenario())
