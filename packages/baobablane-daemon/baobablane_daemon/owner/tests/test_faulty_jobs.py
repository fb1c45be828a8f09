"""Test rounds in which work on one job raises an unexpected error.

An error that ended the round ended the ownership, and that of each later owner.
"""

import asyncio
from unittest import mock

from baobablane.jobs import encode_progress

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
