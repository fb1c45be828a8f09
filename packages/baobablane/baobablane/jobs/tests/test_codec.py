"""Test that a record of progress is never larger than the store takes.

The owner repeated an append that the store rejected for its size for ever, and recorded
nothing else.
"""

import pytest

from baobablane.errors import JobLimitError
from baobablane.jobs import (
    MAX_TASKS_PER_OCCURRENCE,
    JobProgress,
    JobState,
    Task,
    TaskState,
    decode_progress,
    encode_progress,
)

# The store's limit of one record on all sites.
MAX_RECORD_BYTES = 262_144


def make_progress(checkpoint):
    """Return the progress of as many started tasks as a job may have."""
    task = Task(TaskState.STARTED, 9, 1, "i-0123456789", 1_776_568_446_822, checkpoint)
    tasks = {f"0.0.{n}": task for n in range(MAX_TASKS_PER_OCCURRENCE)}
    return JobProgress(JobState.RUNNING, tasks)


class TestSize:
    """Test the progress of the largest job."""

    def test_record_with_checkpoints_fits(self):
        record = encode_progress(make_progress("0" * 16), MAX_RECORD_BYTES)
        assert decode_progress(record) == make_progress("0" * 16)

    def test_long_checkpoints_are_left_out(self):
        record = encode_progress(make_progress("x" * 200), MAX_RECORD_BYTES)
        assert decode_progress(record) == make_progress("")

    def test_record_that_is_still_too_large_is_an_error(self):
        with pytest.raises(JobLimitError, match="progress"):
            encode_progress(make_progress(""), 1_000)
