"""Test cancellations that are stored before the record of their job."""

import asyncio

from baobablane.jobs import JobState, decode_progress

from baobablane_daemon.jobs import CANCEL_PREFIX, JOBS_TOPIC, PROGRESS_TOPIC

from ...jobs.tests.virtual_time import run_in_virtual_time
from .owner_model import run_owner

RETENTION_SECONDS = 2.0
# With the factor of the deletion, and the time that an owner takes to begin.
GONE_AFTER_SECONDS = 4.0
JOB_ID = "f" * 16
CANCELLATION = CANCEL_PREFIX + JOB_ID


def cancel(model):
    """Store a cancellation as an entry instance does."""
    model.store.put(JOBS_TOPIC, CANCELLATION, b'{"account":"a"}')


def recorded_state(model):
    """Return the newest recorded state of the job, or None without a record."""
    values = [v for _, _, key, v in model.store.stored if key == JOB_ID and v]
    return decode_progress(values[-1]).state if values else None


def deleted_keys(model, topic):
    """Return the keys of a topic of which the records were deleted."""
    return [
        key for _, to, key, value in model.store.stored if to == topic and not value
    ]


class TestLateJob:
    """Test a job whose append is carried out after its cancellation was stored.

    Its append had no response, and the client cancelled at another instance.
    """

    def test_it_ends_as_cancelled_without_a_start(self):
        """Guards against tasks that start long after an acknowledged cancellation."""

        async def scenario():
            async with run_owner(state_retention_seconds=60.0) as model:
                cancel(model)
                await asyncio.sleep(5.5)
                assert await model.seconds_until_start(JOB_ID, 3.0) >= 3.0
                assert recorded_state(model) is JobState.CANCELLED

        run_in_virtual_time(scenario())

    def test_cancellation_read_in_a_takeover_holds(self):
        """Guards against a new owner that knows only cancellations of known jobs."""

        async def scenario():
            async with run_owner(cancel, state_retention_seconds=60.0) as model:
                assert await model.seconds_until_start(JOB_ID, 3.0) >= 3.0
                assert recorded_state(model) is JobState.CANCELLED

        run_in_virtual_time(scenario())

    def test_its_records_are_deleted_with_those_of_other_ended_jobs(self):
        """Guards against a state that is deleted before its retention is over."""

        async def scenario():
            async with run_owner(
                cancel, state_retention_seconds=RETENTION_SECONDS
            ) as model:
                # The retention of the cancellation alone ends a second later.
                model.put_job(JOB_ID)
                await asyncio.sleep(2.0)
                assert deleted_keys(model, JOBS_TOPIC) == []
                assert model.views.job_table.state(JOB_ID) is JobState.CANCELLED
                await asyncio.sleep(2.0)
                assert set(deleted_keys(model, JOBS_TOPIC)) == {JOB_ID, CANCELLATION}
                assert deleted_keys(model, PROGRESS_TOPIC) == [JOB_ID]

        run_in_virtual_time(scenario())


class TestRetention:
    """Test cancellations of ids that never get a job."""

    def test_cancellation_that_the_owner_reads_is_deleted(self):
        """Guards against records that nothing removes."""

        async def scenario():
            async with run_owner(state_retention_seconds=RETENTION_SECONDS) as model:
                cancel(model)
                await asyncio.sleep(2.5)
                assert deleted_keys(model, JOBS_TOPIC) == []
                await asyncio.sleep(GONE_AFTER_SECONDS - 2.5)
                assert deleted_keys(model, JOBS_TOPIC) == [CANCELLATION]
                assert model.views.job_table.cancelled == set()

        run_in_virtual_time(scenario())

    def test_cancellation_read_in_a_takeover_is_deleted(self):
        """Guards against cancellations that only the earlier owner would remove."""

        async def scenario():
            async with run_owner(
                cancel, state_retention_seconds=RETENTION_SECONDS
            ) as model:
                await asyncio.sleep(GONE_AFTER_SECONDS - 2.0)
                assert deleted_keys(model, JOBS_TOPIC) == [CANCELLATION]

        run_in_virtual_time(scenario())
