"""Test that a new owner dates the losses that an earlier one recorded.

It took its takeover for their time, so each owner held a task anew.
"""

from baobablane.jobs import (
    JobProgress,
    JobState,
    RunLoss,
    Task,
    TaskState,
    encode_job,
    encode_progress,
)
from baobablane.scheduling.tests.fleet_model import make_job, make_step

from baobablane_daemon.jobs import JOBS_TOPIC, PROGRESS_TOPIC, unix_ms

from ...jobs.tests.virtual_time import run_in_virtual_time
from .owner_model import run_owner

JOB_ID = "a" * 16
# Longer than a long-running task is held.
PAST_MS = 10_000


def put_suspect(model, lost_ms):
    """Store a long-running job whose task has lost two upstreams for good."""
    job = make_job(make_step(is_lasting=True), name=JOB_ID)
    model.store.put(JOBS_TOPIC, JOB_ID, encode_job(job))
    losses = [RunLoss(run, f"gone-{run}", 1, lost_ms=lost_ms) for run in (1, 2)]
    task = Task(TaskState.WAITING, run=2, losses=losses)
    progress = JobProgress(JobState.RUNNING, {"0.0.0": task})
    model.store.put(PROGRESS_TOPIC, JOB_ID, encode_progress(progress))


class TestTakeover:
    """Test a suspect at a takeover."""

    def test_suspect_that_has_waited_is_not_held_anew(self):
        async def scenario():
            lost_ms = unix_ms() - PAST_MS
            async with run_owner(lambda model: put_suspect(model, lost_ms)) as model:
                assert JOB_ID in model.upstream.started_at_by_job

        run_in_virtual_time(scenario())

    def test_suspect_that_was_just_lost_waits_for_the_news(self):
        async def scenario():
            lost_ms = unix_ms()
            async with run_owner(lambda model: put_suspect(model, lost_ms)) as model:
                assert JOB_ID not in model.upstream.started_at_by_job

        run_in_virtual_time(scenario())
