"""Test rounds in which work on one job raises an unexpected error.

An error that ended the round ended the ownership, and that of each later owner.
"""

import asyncio
from unittest import mock

from baobablane.jobs import JobState, decode_progress, encode_progress
from baobablane.scheduling._state import SchedulerState

from baobablane_daemon.jobs import (
    CANCEL_PREFIX,
    JOBS_TOPIC,
    PROGRESS_TOPIC,
    STATE_READER_PREFIX,
    STATES_TOPIC,
)

from ...jobs.tests.virtual_time import run_in_virtual_time
from .owner_model import run_owner

FAULTY_ID = "e" * 16
OTHER_ID = "f" * 16
FAULTY_TASKS = 2


def encode_unless_faulty(progress, max_bytes=None):
    """Raise an error for the progress of the faulty job."""
    if len(progress.tasks) == FAULTY_TASKS:
        raise ValueError("an integer is too large")
    return encode_progress(progress, max_bytes)


def finish_unless_faulty(state, job_run, *arguments):
    """Raise an error for the end of the faulty job."""
    if job_run.job.id == FAULTY_ID:
        raise KeyError("step")
    return finish_job(state, job_run, *arguments)


finish_job = SchedulerState.finish_job


class TestRecords:
    """Test a job whose progress can't be encoded."""

    def test_owner_sets_it_apart_and_places_the_others(self):
        """Guards against owners that fail one after the other."""

        async def scenario():
            target = "baobablane_daemon.owner._owner.encode_progress"
            with mock.patch(target, encode_unless_faulty):
                async with run_owner() as model:
                    model.put_job(FAULTY_ID, FAULTY_TASKS)
                    assert await model.seconds_until_start(OTHER_ID, 3.0) < 0.6
                    await asyncio.sleep(1.0)
                    assert not model.task.done()
                    line, *_ = model.lines("job-set-apart")
                    assert line["request"] == FAULTY_ID
                    assert FAULTY_ID not in model.upstream.started_at_by_job

        run_in_virtual_time(scenario())

    def test_its_state_is_not_published(self):
        """Guards against a state that the next owner doesn't know of."""

        async def scenario():
            target = "baobablane_daemon.owner._owner.encode_progress"
            with mock.patch(target, encode_unless_faulty):
                async with run_owner() as model:
                    model.store.put(JOBS_TOPIC, STATE_READER_PREFIX + "entry-1", b"1")
                    model.put_job(FAULTY_ID, FAULTY_TASKS)
                    await model.seconds_until_start(OTHER_ID, 3.0)
                    await asyncio.sleep(1.0)
                    published = model.store.stored_keys(STATES_TOPIC)
                    assert OTHER_ID in published
                    assert FAULTY_ID not in published

        run_in_virtual_time(scenario())


class TestCancellations:
    """Test a job whose cancellation raises an error."""

    def test_it_is_cancelled_and_the_others_are_placed(self):
        """Guards against a cancellation that each owner fails on."""

        async def scenario():
            with mock.patch.object(SchedulerState, "finish_job", finish_unless_faulty):
                async with run_owner() as model:
                    await model.seconds_until_start(FAULTY_ID, 3.0)
                    model.store.put(JOBS_TOPIC, CANCEL_PREFIX + FAULTY_ID, b"{}")
                    await asyncio.sleep(1.0)
                    assert await model.seconds_until_start(OTHER_ID, 3.0) < 0.6
                    assert not model.task.done()
                    records = [
                        value
                        for _, topic, key, value in model.store.stored
                        if (topic, key) == (PROGRESS_TOPIC, FAULTY_ID)
                    ]
                    assert decode_progress(records[-1]).state is JobState.CANCELLED

        run_in_virtual_time(scenario())
