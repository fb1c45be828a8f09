"""Test that readiness and the acceptance of jobs agree about the store."""

import io
from types import SimpleNamespace

import pytest
from baobablane.deployment import PlatformLimits, Resources
from baobablane.errors import RejectedError, ResultCode
from baobablane.jobs import Job, JobTable, Step

from baobablane_daemon.decision_log import DecisionLog
from baobablane_daemon.jobs import JobActions
from baobablane_daemon.jobs._append_forecast import AppendForecast

JOB = Job("0" * 16, "q", "pool", "a", "spec", (Step(1, Resources(1000, 0, 0), 100),), 0)


def make_views(operator_silence, jobs_silence):
    """Return views of two topics that have been silent for these seconds."""
    tails = [
        SimpleNamespace(silence=lambda seconds=seconds: seconds, age=lambda: 0.1)
        for seconds in (operator_silence, jobs_silence)
    ]
    return SimpleNamespace(
        operator_tail=tails[0],
        jobs_tail=tails[1],
        job_table=JobTable(),
        has_read_all=lambda: True,
    )


class TestStoreOutage:
    """Test a store whose silence shows in one topic some milliseconds earlier."""

    # Guards against an instance that asks for no more callers, but sends the job of the
    # next one to the store.
    @pytest.mark.parametrize("silences", [(1.301, 1.299), (1.299, 1.301)])
    async def test_instance_that_is_not_ready_stores_no_job(self, silences):
        settings = SimpleNamespace(limits=PlatformLimits())
        # A writer without a method to write with.
        writer = SimpleNamespace(forecast=AppendForecast())
        log = DecisionLog("entry-0", io.BytesIO())
        actions = JobActions(settings, make_views(*silences), writer, log)
        assert not actions.is_ready()
        with pytest.raises(RejectedError) as raised:
            await actions.submit(JOB, SimpleNamespace(name="q"))
        assert raised.value.code is ResultCode.LOG_UNAVAILABLE
