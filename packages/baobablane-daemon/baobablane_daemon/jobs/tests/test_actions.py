"""Test readiness, the acceptance of jobs and queries without a deployment."""

import asyncio
import io
from types import SimpleNamespace

import pytest
from baobablane.deployment import PlatformLimits, Resources
from baobablane.errors import RejectedError, ResultCode
from baobablane.jobs import Job, JobProgress, JobState, JobTable, ShownState, Step
from baobablane_platform import CallerWait, StoreError

from baobablane_daemon.decision_log import DecisionLog
from baobablane_daemon.jobs import JobActions
from baobablane_daemon.jobs._append_forecast import AppendForecast

JOB = Job("0" * 16, "q", "pool", "a", "spec", (Step(1, Resources(1000, 0, 0), 100),), 0)


def make_views(operator_silence, jobs_silence):
    """Return views of two topics that have been silent for these seconds."""
    tails = [
        SimpleNamespace(
            silence=lambda seconds=seconds: seconds,
            age=lambda: 0.1,
            is_lost=lambda max_silence_seconds: False,
        )
        for seconds in (operator_silence, jobs_silence)
    ]
    return SimpleNamespace(
        operator_tail=tails[0],
        jobs_tail=tails[1],
        job_table=JobTable(),
        has_read_all=lambda: True,
    )


def make_wait():
    """Return the wait of a caller whose request arrives now."""
    return CallerWait(asyncio.get_running_loop().time())


def make_actions(views, log=None):
    """Return the actions of an instance whose writer can't write."""
    settings = SimpleNamespace(limits=PlatformLimits(), memory_mb=300.0)
    writer = SimpleNamespace(forecast=AppendForecast(), is_writing=lambda key: False)
    return JobActions(
        settings, views, writer, log or DecisionLog("entry-0", io.BytesIO())
    )


class TestStoreOutage:
    """Test a store whose silence shows in one topic some milliseconds earlier."""

    # Guards against an instance that asks for no more callers, but sends the job of the
    # next one to the store.
    @pytest.mark.parametrize("silences", [(1.301, 1.299), (1.299, 1.301)])
    async def test_instance_that_is_not_ready_stores_no_job(self, silences):
        actions = make_actions(make_views(*silences))
        assert not actions.is_ready()
        with pytest.raises(RejectedError) as raised:
            await actions.submit(JOB, SimpleNamespace(name="q"), make_wait())
        assert raised.value.code is ResultCode.LOG_UNAVAILABLE


class TestStateOfReader:
    """Test queries at an instance that reads the states of jobs from time to time.

    A caller asks when its job should have ended. An older view shows the end only at
    the caller's next query, after the time at which the result is due.
    """

    def make_views(self, catch_up):
        """Return views in which the job runs, and that are read by `catch_up`."""
        views = make_views(0.1, 0.1)
        views.follows_progress = False
        views.job_table.accept(JOB)
        views.job_table.set_state(JOB.id, JobState.RUNNING)
        views.state_view = SimpleNamespace(
            catch_up=catch_up,
            age=lambda: 0.4,
            is_lost=lambda max_silence_seconds: False,
        )
        return views

    async def test_query_shows_an_end_that_was_stored_after_the_last_read(self):
        async def read_end():
            views.job_table.set_state(JOB.id, JobState.COMPLETED)

        views = self.make_views(read_end)
        shown = await make_actions(views).state(JOB.id, make_wait())
        assert shown == ShownState(JobState.COMPLETED)

    async def test_view_answers_while_the_store_does_not(self):
        async def wait():
            await asyncio.sleep(10.0)

        async def fail():
            raise StoreError("the store returned status 503")

        for catch_up in (wait, fail):
            stream = io.BytesIO()
            log = DecisionLog("entry-0", stream)
            actions = make_actions(self.make_views(catch_up), log)
            async with asyncio.timeout(1.0):
                shown = await actions.state(JOB.id, make_wait())
            assert shown == ShownState(JobState.RUNNING)
            log.flush()
            assert b"state-read-skipped" in stream.getvalue()


class TestCancellation:
    """Test that only a recorded end is shown after a cancellation.

    An instance showed a job as cancelled as soon as the cancellation was stored, and
    others then showed the end that the owner had recorded before it read that.
    """

    def make_actions(self, on_write):
        """Return the actions and the job table of an instance that shows a running job.

        `on_write` is called with the job table when the cancellation is stored.
        """
        views = make_views(0.1, 0.1)
        views.follows_progress = True
        views.state_view = SimpleNamespace(age=lambda: 0.1)
        views.on_change = lambda job_id: None
        table = views.job_table
        table.accept(JOB)
        table.set_progress(JOB.id, JobProgress(JobState.RUNNING))
        actions = make_actions(views)

        async def write(record, is_deferred):
            self.written.append(record.key)
            on_write(table)

        self.written = []
        actions._job_writer.write = write
        actions._job_writer.is_writing = lambda key: False
        return actions, table

    @pytest.mark.parametrize("end", [JobState.COMPLETED, JobState.CANCELLED])
    async def test_answer_is_the_end_that_the_owner_records(self, end):
        def decide(table):
            loop = asyncio.get_running_loop()
            loop.call_later(0.05, table.set_progress, JOB.id, JobProgress(end))

        actions, _ = self.make_actions(decide)
        assert await actions.cancel(JOB.id, make_wait()) is end

    async def test_it_is_confirmed_without_an_owner(self):
        actions, _ = self.make_actions(lambda table: None)
        async with asyncio.timeout(2.0):
            assert await actions.cancel(JOB.id, make_wait()) is JobState.RUNNING
        shown = await actions.state(JOB.id, make_wait())
        assert shown == ShownState(JobState.RUNNING)

    async def test_repetition_is_not_stored_again(self):
        actions, table = self.make_actions(lambda table: None)
        await actions.cancel(JOB.id, make_wait())
        table.set_progress(JOB.id, JobProgress(JobState.COMPLETED))
        assert await actions.cancel(JOB.id, make_wait()) is JobState.COMPLETED
        await actions.cancel(JOB.id, make_wait())
        assert len(self.written) == 1

    async def test_end_after_the_cancellation_was_read_is_shown_alone(self):
        _, table = self.make_actions(lambda table: None)
        table.cancel(JOB.id)
        assert table.state(JOB.id) is JobState.RUNNING
        table.set_progress(JOB.id, JobProgress(JobState.COMPLETED))
        assert table.state(JOB.id) is JobState.COMPLETED

    async def test_cancelled_job_is_not_counted_as_pending(self):
        table = JobTable()
        table.accept(JOB)
        assert table.pending_count(JOB.queue) == 1
        table.cancel(JOB.id)
        assert table.pending_count(JOB.queue) == 0


class TestUnreadJobs:
    """Test queries while an instance still reads the jobs after its start.

    All entry instances had lost power. With 7,000 jobs kept, those with 10 Mbit/s read
    jobs for 10 s, and rejected queries for jobs whose final state they knew.
    """

    def make_actions(self, state, in_progress):
        """Return the actions of an instance that knows a state but not its job."""

        async def fail():
            raise StoreError("the store returned status 503")

        views = make_views(0.1, 0.1)
        views.jobs_tail.catch_up = fail
        if in_progress:
            views.job_table.set_progress(JOB.id, JobProgress(state))
        else:
            views.job_table.set_state(JOB.id, state)
        return make_actions(views)

    @pytest.mark.parametrize("in_progress", [True, False])
    async def test_final_state_is_shown(self, in_progress):
        actions = self.make_actions(JobState.FAILED, in_progress)
        shown = await actions.state(JOB.id, make_wait())
        assert shown == ShownState(JobState.FAILED)

    @pytest.mark.parametrize("in_progress", [True, False])
    async def test_other_states_are_not_shown(self, in_progress):
        """Guards against a cancelled job that is shown as running."""
        actions = self.make_actions(JobState.RUNNING, in_progress)
        with pytest.raises(RejectedError) as raised:
            await actions.state(JOB.id, make_wait())
        assert raised.value.code is ResultCode.VIEW_NOT_CONFIRMED
