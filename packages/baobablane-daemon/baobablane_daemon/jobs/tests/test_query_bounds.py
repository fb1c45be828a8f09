"""Test that each query ends in time for its caller to ask another instance.

A caller asks elsewhere only once its query has ended, so a query that is held until
the caller gives up leaves no answer at all. An instance that can't tell has to say so
within a third of the time that the caller waits.
"""

import asyncio

import pytest
from baobablane_platform import OPERATOR_TOPIC, StoreRejectedError

from baobablane_daemon.jobs import (
    JOBS_TOPIC,
    PROGRESS_TOPIC,
    STATES_TOPIC,
)
from baobablane_daemon.jobs._view_limits import MAX_VIEW_AGE_SECONDS

from .caller import JOB_ID, run_instance, run_starting_instance
from .scripted_store import answer_after, fail_with, hang, trickle
from .virtual_time import run_in_virtual_time

BOUND_SECONDS = 1.0
RUNNING = b"1"
COMPLETED = b"2"


class TestUnknownJob:
    """Test queries for a job that this instance has not read."""

    def test_job_accepted_elsewhere_is_found(self):
        async def scenario():
            async with run_instance() as caller:
                caller.accept_elsewhere()
                status, body, seconds = await caller.call("GET")
                assert (status, body) == (200, {"state": "pending"})
                assert seconds <= BOUND_SECONDS

        run_in_virtual_time(scenario())

    def test_job_that_does_not_exist_is_gone(self):
        async def scenario():
            async with run_instance() as caller:
                status, _, seconds = await caller.call("GET")
                assert status == 410
                assert seconds <= BOUND_SECONDS

        run_in_virtual_time(scenario())

    @pytest.mark.parametrize("fault", [hang, trickle, answer_after(0.89)])
    @pytest.mark.parametrize("follows_progress", [True, False])
    def test_read_without_an_end_is_given_up(self, fault, follows_progress):
        """Guards against a missing job for lack of the read that would show it."""

        async def scenario():
            async with run_instance(follows_progress) as caller:
                await asyncio.sleep(1.0)
                caller.store.fault_by_topic[JOBS_TOPIC] = fault
                caller.accept_elsewhere()
                for _ in range(5):
                    status, _, seconds = await caller.call("GET")
                    assert status in (200, 503)
                    assert seconds <= BOUND_SECONDS

        run_in_virtual_time(scenario())

    @pytest.mark.parametrize("fault", [hang, trickle])
    def test_view_read_anew_holds_no_query(self, fault):
        """Guards against a query that waits for the lock of the newest records."""

        async def scenario():
            async with run_instance(has_job=True) as caller:
                caller.store.fault_by_topic[JOBS_TOPIC] = fault
                caller.views.jobs_tail.skip_to_newest()
                calls = [caller.call("GET", job_id=f"{n:016x}") for n in range(1, 9)]
                for status, _, seconds in await asyncio.gather(*calls):
                    assert status == 503
                    assert seconds <= BOUND_SECONDS

        run_in_virtual_time(scenario())

    def test_job_is_found_after_the_history_has_expired(self):
        async def scenario():
            async with run_instance() as caller:
                caller.accept_elsewhere()
                caller.store.first_offset = 1
                status, body, seconds = await caller.call("GET")
                assert (status, body) == (200, {"state": "pending"})
                assert seconds <= BOUND_SECONDS

        run_in_virtual_time(scenario())

    def test_waits_in_series_share_one_bound(self):
        """Guards against a read of jobs and one of states that are each in time."""

        async def scenario():
            async with run_instance(follows_progress=False) as caller:
                caller.accept_elsewhere()
                caller.store.fault_by_topic[JOBS_TOPIC] = answer_after(0.85)
                caller.store.fault_by_topic[STATES_TOPIC] = hang
                status, body, seconds = await caller.call("GET")
                assert (status, body) == (200, {"state": "pending"})
                assert seconds <= BOUND_SECONDS

        run_in_virtual_time(scenario())

    def test_shorter_patience_of_the_caller_counts(self):
        async def scenario():
            async with run_instance() as caller:
                caller.store.fault_by_topic[JOBS_TOPIC] = hang
                status, _, seconds = await caller.call("GET", patience_ms=600)
                assert status == 503
                assert seconds <= 0.2 + 1e-9

        run_in_virtual_time(scenario())

    @pytest.mark.parametrize("patience_ms", ["", "soon", "-1", "nan", "inf", "9" * 400])
    def test_odd_patience_counts_as_the_usual_one(self, patience_ms):
        async def scenario():
            async with run_instance() as caller:
                caller.store.fault_by_topic[JOBS_TOPIC] = trickle
                status, _, seconds = await caller.call("GET", patience_ms)
                assert status == 503
                assert seconds == pytest.approx(BOUND_SECONDS)

        run_in_virtual_time(scenario())


class TestKnownJob:
    """Test queries for a job that this instance knows."""

    @pytest.mark.parametrize("fault", [hang, trickle])
    @pytest.mark.parametrize("follows_progress", [True, False])
    def test_old_view_is_not_shown_as_a_new_one(self, fault, follows_progress):
        """Guards against a state from before the instance was cut off."""

        async def scenario():
            async with run_instance(follows_progress, has_job=True) as caller:
                for topic in (
                    OPERATOR_TOPIC,
                    JOBS_TOPIC,
                    PROGRESS_TOPIC,
                    STATES_TOPIC,
                ):
                    caller.store.fault_by_topic[topic] = fault
                cut_at = asyncio.get_running_loop().time()
                statuses = []
                for _ in range(60):
                    status, _, seconds = await caller.call("GET")
                    statuses.append(status)
                    assert seconds <= BOUND_SECONDS
                    silence = asyncio.get_running_loop().time() - cut_at
                    if status == 200 and silence > MAX_VIEW_AGE_SECONDS:
                        assert caller.shown_age >= silence
                    await asyncio.sleep(0.1)
                assert set(statuses) == {200, 503}
                # By then, callers are not routed here if others know more.
                assert set(statuses[-10:]) == {200}

        run_in_virtual_time(scenario())

    def test_final_state_is_shown_without_the_store(self):
        async def scenario():
            async with run_instance(follows_progress=False, has_job=True) as caller:
                caller.store.put(STATES_TOPIC, JOB_ID, COMPLETED)
                await caller.views.state_view.catch_up()
                caller.store.hang_all()
                await asyncio.sleep(60.0)
                status, body, seconds = await caller.call("GET")
                assert (status, body) == (200, {"state": "completed"})
                assert seconds == 0.0

        run_in_virtual_time(scenario())


class TestStartingInstance:
    """Test an instance that has not read a topic yet and has no data from it."""

    @pytest.mark.parametrize("follows_progress", [True, False])
    def test_state_that_was_never_read_is_not_shown(self, follows_progress):
        """Guards against a state of unknown age that is shown with an age."""

        async def scenario():
            topic = PROGRESS_TOPIC if follows_progress else STATES_TOPIC
            async with run_starting_instance(topic, follows_progress) as caller:
                status, _, seconds = await caller.call("GET")
                assert status == 503
                assert seconds <= BOUND_SECONDS
                assert b"request-failed" not in caller.output.getvalue()
                events = [decision.event for decision in caller.log.explain(JOB_ID)]
                assert events == ["state-read-skipped", "query-rejected"]

        run_in_virtual_time(scenario())


class TestPendingCount:
    """Test the number of a queue's pending jobs."""

    def test_unread_jobs_are_not_counted(self):
        """Guards against a count of zero while jobs wait."""

        async def scenario():
            async with run_starting_instance(JOBS_TOPIC) as caller:
                status, _, seconds = await caller.call("GET", job_id="")
                assert status == 503
                assert seconds <= BOUND_SECONDS

        run_in_virtual_time(scenario())

    def test_read_jobs_are_counted(self):
        async def scenario():
            async with run_instance(has_job=True) as caller:
                status, body, seconds = await caller.call("GET", job_id="")
                assert (status, body) == (200, {"pendingCount": 1})
                assert (seconds, caller.shown_age) == (0.0, None)

        run_in_virtual_time(scenario())

    @pytest.mark.parametrize("follows_progress", [True, False])
    def test_job_accepted_during_a_freeze_is_counted(self, follows_progress):
        """Guards against a count from before the process was stopped."""

        async def scenario():
            async with run_instance(follows_progress) as caller:
                asyncio.get_running_loop().freeze(20.0)
                caller.accept_elsewhere()
                status, body, seconds = await caller.call("GET", job_id="")
                assert (status, body) == (200, {"pendingCount": 1})
                assert seconds <= BOUND_SECONDS

        run_in_virtual_time(scenario())

    @pytest.mark.parametrize("follows_progress", [True, False])
    @pytest.mark.parametrize("fault", [hang, trickle])
    def test_old_count_has_an_age(self, fault, follows_progress):
        """Guards against a count without an end of its age, shown as a new one."""

        async def scenario():
            async with run_instance(follows_progress, has_job=True) as caller:
                for topic in (
                    OPERATOR_TOPIC,
                    JOBS_TOPIC,
                    PROGRESS_TOPIC,
                    STATES_TOPIC,
                ):
                    caller.store.fault_by_topic[topic] = fault
                cut_at = asyncio.get_running_loop().time()
                statuses = []
                for _ in range(60):
                    status, _, seconds = await caller.call("GET", job_id="")
                    statuses.append(status)
                    assert seconds <= BOUND_SECONDS
                    silence = asyncio.get_running_loop().time() - cut_at
                    if status == 200 and silence > MAX_VIEW_AGE_SECONDS:
                        assert caller.shown_age >= silence
                    await asyncio.sleep(0.1)
                assert set(statuses) == {200, 503}
                # By then, callers are not routed here if others know more.
                assert set(statuses[-10:]) == {200}
                assert b"count-dated" in self.lines(caller)

        run_in_virtual_time(scenario())

    @pytest.mark.parametrize("topic", [JOBS_TOPIC, PROGRESS_TOPIC])
    def test_count_that_others_know_better_is_rejected(self, topic):
        """Guards against a count that lacks new jobs, or has those that began."""

        async def scenario():
            async with run_instance(has_job=True) as caller:
                caller.store.fault_by_topic[topic] = hang
                await asyncio.sleep(10.0)
                status, _, seconds = await caller.call("GET", job_id="")
                assert status == 503
                assert seconds <= BOUND_SECONDS
                assert b"query-rejected" in self.lines(caller)

        run_in_virtual_time(scenario())

    def test_waits_for_jobs_and_states_share_one_bound(self):
        async def scenario():
            async with run_instance(has_job=True) as caller:
                for topic in (JOBS_TOPIC, PROGRESS_TOPIC):
                    caller.store.fault_by_topic[topic] = answer_after(0.85)
                asyncio.get_running_loop().freeze(20.0)
                status, _, seconds = await caller.call("GET", job_id="")
                assert status in (200, 503)
                assert seconds <= BOUND_SECONDS

        run_in_virtual_time(scenario())

    def lines(self, caller):
        """Return the lines that the instance has logged."""
        caller.log.flush()
        return caller.output.getvalue()


class TestUnexpectedError:
    """Test queries whose read fails by an error that is none of the store's."""

    ERROR = RuntimeError("the session is closed")

    def test_unknown_job_is_not_denied(self):
        async def scenario():
            async with run_instance() as caller:
                caller.store.fault_by_topic[JOBS_TOPIC] = fail_with(self.ERROR)
                status, _, seconds = await caller.call("GET")
                assert status == 503
                assert seconds <= BOUND_SECONDS
                assert b"read-failed" in caller.output.getvalue()

        run_in_virtual_time(scenario())

    def test_recent_view_answers(self):
        async def scenario():
            async with run_instance(follows_progress=False, has_job=True) as caller:
                caller.store.put(STATES_TOPIC, JOB_ID, RUNNING)
                await caller.views.state_view.catch_up()
                caller.store.fault_by_topic[STATES_TOPIC] = fail_with(self.ERROR)
                status, body, _ = await caller.call("GET")
                assert (status, body) == (200, {"state": "running"})

        run_in_virtual_time(scenario())


class TestFrozenProcess:
    """Test an instance that was stopped for a time and then goes on."""

    FROZEN_SECONDS = 20.0

    def test_job_accepted_meanwhile_is_found(self):
        async def scenario():
            async with run_instance() as caller:
                asyncio.get_running_loop().freeze(self.FROZEN_SECONDS)
                caller.accept_elsewhere()
                status, body, seconds = await caller.call("GET")
                assert (status, body) == (200, {"state": "pending"})
                assert seconds <= BOUND_SECONDS

        run_in_virtual_time(scenario())

    def test_state_is_read_anew(self):
        """Guards against a rejection while the store answers."""

        async def scenario():
            async with run_instance(has_job=True) as caller:
                asyncio.get_running_loop().freeze(self.FROZEN_SECONDS)
                status, body, seconds = await caller.call("GET")
                assert (status, body) == (200, {"state": "pending"})
                assert seconds <= BOUND_SECONDS

        run_in_virtual_time(scenario())

    @pytest.mark.parametrize("follows_progress", [True, False])
    def test_state_from_before_is_not_shown(self, follows_progress):
        async def scenario():
            async with run_instance(follows_progress, has_job=True) as caller:
                asyncio.get_running_loop().freeze(self.FROZEN_SECONDS)
                topic = PROGRESS_TOPIC if follows_progress else STATES_TOPIC
                caller.store.fault_by_topic[topic] = hang
                status, _, seconds = await caller.call("GET")
                assert status == 503
                assert seconds <= BOUND_SECONDS

        run_in_virtual_time(scenario())

    @pytest.mark.parametrize("follows_progress", [True, False])
    def test_state_is_read_anew_if_a_read_had_failed_before(self, follows_progress):
        """Guards against a state from before though the store answers again."""

        async def scenario():
            async with run_instance(follows_progress, has_job=True) as caller:
                rejection = fail_with(StoreRejectedError("status 429"))
                for topic in (JOBS_TOPIC, PROGRESS_TOPIC, STATES_TOPIC):
                    caller.store.fault_by_topic[topic] = rejection
                # Longer than the read that is open when the fault begins.
                await asyncio.sleep(0.6)
                caller.store.fault_by_topic.clear()
                asyncio.get_running_loop().freeze(self.FROZEN_SECONDS)
                for job_id, expected in ((JOB_ID, 200), ("f" * 16, 410)):
                    status, _, seconds = await caller.call("GET", job_id=job_id)
                    assert status == expected
                    assert caller.shown_age is None
                    assert seconds <= BOUND_SECONDS

        run_in_virtual_time(scenario())

    def test_query_that_was_frozen_with_the_process_ends(self):
        async def scenario():
            async with run_instance() as caller:
                caller.store.fault_by_topic[JOBS_TOPIC] = hang
                call = asyncio.create_task(caller.call("GET"))
                await asyncio.sleep(0.1)
                loop = asyncio.get_running_loop()
                loop.freeze(self.FROZEN_SECONDS)
                woken_at = loop.time()
                status, _, _ = await call
                assert status == 503
                assert loop.time() - woken_at <= BOUND_SECONDS

        run_in_virtual_time(scenario())


class TestLog:
    """Test what the log tells of a query or cancellation without an answer.

    Callers saw no answer about two jobs, and no line named them.
    """

    def read_lines(self, caller, event):
        """Return the decisions of an event about the job."""
        decisions = caller.log.explain(JOB_ID)
        return [decision for decision in decisions if decision.event == event]

    def test_unread_jobs_are_named(self):
        async def scenario():
            async with run_instance() as caller:
                caller.store.fault_by_topic[JOBS_TOPIC] = hang
                assert (await caller.call("GET"))[0] == 503
                (line,) = self.read_lines(caller, "query-rejected")
                assert line.reason.startswith("the jobs can't be read")
                assert (line.result, line.seconds > 0.9) == (208, True)

        run_in_virtual_time(scenario())

    def test_old_view_is_named(self):
        async def scenario():
            async with run_instance(has_job=True) as caller:
                caller.store.fault_by_topic[PROGRESS_TOPIC] = hang
                await asyncio.sleep(2.0)
                assert (await caller.call("GET"))[0] == 503
                (line,) = self.read_lines(caller, "query-rejected")
                assert line.reason.startswith("the view of jobs is")
                assert (line.result, line.seconds > 2.0) == (208, True)

        run_in_virtual_time(scenario())

    @pytest.mark.parametrize(
        "fault, event, result",
        [
            (hang, "cancel-unsure", 306),
            (fail_with(StoreRejectedError("status 503")), "cancel-refused", 210),
        ],
    )
    def test_cancellation_is_named(self, fault, event, result):
        async def scenario():
            async with run_instance(has_job=True) as caller:
                caller.store.append_fault = fault
                assert (await caller.call("DELETE"))[0] in (503, 504)
                (line,) = self.read_lines(caller, event)
                assert line.reason
                assert line.result == result

        run_in_virtual_time(scenario())


class TestLostStore:
    """Test an instance that is cut off from the store but not from its callers."""

    @pytest.mark.parametrize("follows_progress", [True, False])
    def test_instance_that_knows_of_it_rejects_at_once(self, follows_progress):
        async def scenario():
            async with run_instance(follows_progress, has_job=True) as caller:
                caller.store.hang_all()
                await asyncio.sleep(3.0)
                for job_id in (JOB_ID, "f" * 16):
                    status, _, seconds = await caller.call("GET", job_id=job_id)
                    assert status == 503
                    assert seconds == 0.0

        run_in_virtual_time(scenario())

    @pytest.mark.parametrize("follows_progress", [True, False])
    def test_known_state_is_shown_with_its_age_if_no_instance_can_read(
        self, follows_progress
    ):
        """Guards against a job without an answer from any instance for long."""

        async def scenario():
            async with run_instance(follows_progress, has_job=True) as caller:
                caller.store.hang_all()
                await asyncio.sleep(6.0)
                status, body, seconds = await caller.call("GET")
                assert (status, body) == (200, {"state": "pending"})
                assert seconds == 0.0
                assert 6 <= caller.shown_age <= 8
                assert (await caller.call("GET", job_id="f" * 16))[0] == 503

        run_in_virtual_time(scenario())

    @pytest.mark.parametrize("follows_progress", [True, False])
    def test_instance_that_is_ready_shows_no_old_state(self, follows_progress):
        """Guards against a dated state while callers are still routed here."""

        async def scenario():
            async with run_instance(follows_progress, has_job=True) as caller:
                for topic in (PROGRESS_TOPIC, STATES_TOPIC):
                    caller.store.fault_by_topic[topic] = hang
                await asyncio.sleep(10.0)
                status, _, seconds = await caller.call("GET")
                assert status == 503
                assert seconds <= BOUND_SECONDS

        run_in_virtual_time(scenario())

    def test_slow_store_still_answers(self):
        """Guards against rejections while reads succeed, though late."""

        async def scenario():
            async with run_instance() as caller:
                for topic in (JOBS_TOPIC, PROGRESS_TOPIC):
                    caller.store.fault_by_topic[topic] = answer_after(0.45)
                await asyncio.sleep(10.0)
                caller.accept_elsewhere()
                status, body, seconds = await caller.call("GET")
                assert (status, body) == (200, {"state": "pending"})
                assert seconds <= BOUND_SECONDS

        run_in_virtual_time(scenario())

    def test_slow_store_hides_no_known_job(self):
        """Guards against a view that gets too old between two slow reads."""

        async def scenario():
            async with run_instance(has_job=True) as caller:
                for topic in (JOBS_TOPIC, PROGRESS_TOPIC):
                    caller.store.fault_by_topic[topic] = answer_after(0.6)
                results = []
                for _ in range(200):
                    await asyncio.sleep(0.1)
                    results.append(await caller.call("GET"))
                assert {status for status, _, _ in results} == {200}
                assert max(seconds for _, _, seconds in results) <= BOUND_SECONDS

        run_in_virtual_time(scenario())
