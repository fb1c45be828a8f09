"""Test the deletion of jobs that ended long ago, beside the owner's rounds."""

import asyncio

import pytest

from baobablane_daemon.jobs import CANCEL_PREFIX, JOBS_TOPIC, PROGRESS_TOPIC

from ...jobs.tests.scripted_store import answer_after, hang
from ...jobs.tests.virtual_time import run_in_virtual_time
from .owner_model import run_owner

# With the factor of the deletion, jobs are due 3 s after the takeover.
RETENTION_SECONDS = 2.0
ENDED_IDS = [f"{number:016x}" for number in range(1, 251)]
NEW_ID = "f" * 16


def run_with_ended_jobs(count=1):
    """Run an owner that finds ended jobs; the deletion is due a second later."""

    def prepare(model):
        for job_id in ENDED_IDS[:count]:
            model.put_ended_job(job_id)

    return run_owner(prepare, state_retention_seconds=RETENTION_SECONDS)


def deletions(model):
    """Return the topic and key of each tombstone, in the order of storing."""
    return [(topic, key) for _, topic, key, value in model.store.stored if not value]


class TestRounds:
    """Test rounds while the store answers no deletion."""

    @pytest.mark.parametrize("fault", [hang, answer_after(2.0)])
    def test_tasks_start_while_a_deletion_waits(self, fault):
        """Guards against free room that nothing is placed in, for seconds."""

        async def scenario():
            async with run_with_ended_jobs() as model:
                model.store.append_fault_by_topic[JOBS_TOPIC] = fault
                appends = model.store.append_count
                await asyncio.sleep(1.2)
                assert model.store.append_count > appends
                assert await model.seconds_until_start(NEW_ID, 3.0) < 0.6
                assert model.lines("round-held") == []

        run_in_virtual_time(scenario())


class TestOrder:
    """Test in which order the records of a job are deleted."""

    def test_job_is_deleted_before_its_progress(self):
        """Guards against an ended job that counts as new without its progress."""

        async def scenario():
            async with run_with_ended_jobs(len(ENDED_IDS)) as model:
                model.store.append_fault_by_topic[JOBS_TOPIC] = answer_after(0.5)
                await asyncio.sleep(6.0)
                order = {entry: n for n, entry in enumerate(deletions(model))}
                for job_id in ENDED_IDS:
                    deleted_at = order[(PROGRESS_TOPIC, job_id)]
                    assert order[(JOBS_TOPIC, job_id)] < deleted_at
                    assert order[(JOBS_TOPIC, CANCEL_PREFIX + job_id)] < deleted_at

        run_in_virtual_time(scenario())

    def test_one_deletion_is_sent_at_a_time(self):
        """Guards against deletions that pile up in the line of a slow store."""

        async def scenario():
            async with run_with_ended_jobs(len(ENDED_IDS)) as model:
                waiting, most = 0, 0

                async def count(timeout_seconds, on_data):
                    nonlocal waiting, most
                    waiting += 1
                    most = max(most, waiting)
                    await asyncio.sleep(0.5)
                    waiting -= 1

                model.store.append_fault_by_topic[JOBS_TOPIC] = count
                await asyncio.sleep(6.0)
                assert most == 1
                assert len(deletions(model)) == 3 * len(ENDED_IDS)

        run_in_virtual_time(scenario())

    def test_progress_is_kept_until_the_job_is_deleted(self):
        """Guards against deleted progress of a job that the store still has."""

        async def scenario():
            async with run_with_ended_jobs() as model:
                model.store.append_fault_by_topic[JOBS_TOPIC] = hang
                await asyncio.sleep(4.0)
                assert len(model.lines("jobs-not-dropped")) == 1
                assert deletions(model) == []
                # Due again after another retention.
                model.store.append_fault_by_topic[JOBS_TOPIC] = answer_after(0.01)
                await asyncio.sleep(4.0)
                assert (PROGRESS_TOPIC, ENDED_IDS[0]) in deletions(model)

        run_in_virtual_time(scenario())


class TestEndedOwnership:
    """Test deletions after the ownership has ended."""

    def test_no_deletion_begins(self):
        """Guards against records that an owner of the past deletes."""

        async def scenario():
            async with run_with_ended_jobs() as model:
                model.ownership.end("unconfirmed")
                await asyncio.sleep(6.0)
                assert deletions(model) == []

        run_in_virtual_time(scenario())

    def test_no_deletion_is_sent_by_an_owner_that_is_not_confirmed(self):
        """Guards against a deletion beside that of a newer owner."""

        async def scenario():
            async with run_with_ended_jobs() as model:
                model.store.append_fault_by_topic[PROGRESS_TOPIC] = hang
                await asyncio.sleep(3.0)
                assert JOBS_TOPIC not in {topic for topic, _ in deletions(model)}

        run_in_virtual_time(scenario())
