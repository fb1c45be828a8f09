"""Test requests to cancel jobs that the store does not have."""

import asyncio

import pytest
from baobablane.admission import early_cancellation_limit
from baobablane.errors import RejectedError, ResultCode
from baobablane.jobs import encode_job
from baobablane_platform import CallerWait, StoreRejectedError

from baobablane_daemon.jobs import CANCEL_PREFIX, JOBS_TOPIC

from .caller import JOB, JOB_ID, run_instance
from .scripted_store import answer_after, fail_with, hang
from .virtual_time import run_in_virtual_time

OTHER_ID = "1" * 16
CROWD = 12_000
CROWD_SECONDS = 2.0
# Of 300 MB.
MAX_EARLY_CANCELLATIONS = early_cancellation_limit(300.0)


def cancellations(caller):
    """Return the ids of the stored cancellations, in order."""
    return [
        record.key.removeprefix(CANCEL_PREFIX)
        for record in caller.store.records_by_topic[JOBS_TOPIC]
        if record.key.startswith(CANCEL_PREFIX) and record.value
    ]


async def outcome_of(caller, job_id, account):
    """Return the result code of a cancellation; DONE if it was acknowledged."""
    wait = CallerWait(asyncio.get_running_loop().time())
    try:
        await caller.actions.cancel(job_id, wait, account)
    except RejectedError as error:
        return error.code
    return ResultCode.DONE


class TestUnknownJob:
    """Test that 410 is a promise which the store keeps."""

    def test_cancellation_is_stored_before_the_answer(self):
        """Guards against 410 for a job whose append is still on its way."""

        async def scenario():
            async with run_instance() as caller:
                status, _, _ = await caller.call("DELETE")
                assert status == 410
                assert cancellations(caller) == [JOB_ID]

        run_in_virtual_time(scenario())

    def test_repetition_is_not_stored_again(self):
        async def scenario():
            async with run_instance() as caller:
                for _ in range(3):
                    assert (await caller.call("DELETE"))[0] == 410
                assert cancellations(caller) == [JOB_ID]

        run_in_virtual_time(scenario())

    @pytest.mark.parametrize(
        ("fault", "expected"),
        [
            (fail_with(StoreRejectedError("the store returned status 503")), 503),
            (hang, 504),
        ],
    )
    def test_answer_is_no_410_if_it_was_not_stored(self, fault, expected):
        async def scenario():
            async with run_instance() as caller:
                caller.store.append_fault = fault
                assert (await caller.call("DELETE"))[0] == expected

        run_in_virtual_time(scenario())

    def test_job_stored_just_before_is_shown(self):
        """Guards against 410 for a job that was stored before its cancellation."""

        async def scenario():
            async with run_instance() as caller:

                async def carry_out_earlier_append(timeout_seconds, on_data):
                    caller.accept_elsewhere()

                caller.store.append_fault = carry_out_earlier_append
                status, body, _ = await caller.call("DELETE")
                assert (status, body) == (200, {"state": "pending"})

        run_in_virtual_time(scenario())

    def test_answer_is_no_410_if_the_job_may_have_been_stored_before(self):
        async def scenario():
            async with run_instance() as caller:

                async def lose_reads(timeout_seconds, on_data):
                    caller.store.fault_by_topic[JOBS_TOPIC] = hang

                caller.store.append_fault = lose_reads
                assert (await caller.call("DELETE"))[0] == 504

        run_in_virtual_time(scenario())


class TestSubmissionAfterCancellation:
    """Test a job that is handed in once its cancellation was acknowledged."""

    def test_it_is_rejected_at_once(self):
        """Guards against 200 for a job that will never run."""

        async def scenario():
            async with run_instance() as caller:
                await caller.call("DELETE")
                status, body, _ = await caller.call("POST")
                assert (status, body["code"]) == (409, ResultCode.CANCELLED)
                records = caller.store.records_by_topic[JOBS_TOPIC]
                assert JOB_ID not in [record.key for record in records]
                assert (await caller.call("GET"))[0] == 410

        run_in_virtual_time(scenario())

    def test_known_job_is_still_confirmed(self):
        """Guards against a rejection of a job that was accepted before."""

        async def scenario():
            async with run_instance(has_job=True) as caller:
                await caller.call("DELETE")
                assert (await caller.call("POST"))[0] == 200

        run_in_virtual_time(scenario())


class TestCrowd:
    """Test that what is kept of cancellations of unknown jobs is bounded."""

    async def cancel_many(self, caller):
        """Cancel unknown jobs at a steady rate; return the result code of each."""
        calls = []
        for number in range(CROWD):
            call = outcome_of(caller, f"{number + 1:016x}", "a")
            calls.append(asyncio.ensure_future(call))
            await asyncio.sleep(CROWD_SECONDS / CROWD)
        return await asyncio.gather(*calls)

    def test_records_and_appends_are_bounded(self):
        """Guards against a store that any holder of a key can fill."""

        async def scenario():
            async with run_instance() as caller:
                outcomes = await self.cancel_many(caller)
                kept = cancellations(caller)
                assert len(kept) == len(set(kept)) == outcomes.count(ResultCode.DONE)
                assert outcomes.count(ResultCode.CANCELLATIONS_FULL) == CROWD - len(
                    kept
                )
                # One append in a quarter of a second.
                assert caller.store.append_count <= CROWD_SECONDS / 0.25 + 2

        run_in_virtual_time(scenario())

    def test_cancellation_of_an_accepted_job_does_not_wait(self):
        """Guards against accepted jobs that run on behind a crowd."""

        async def scenario():
            async with run_instance(has_job=True) as caller:
                crowd = asyncio.ensure_future(self.cancel_many(caller))
                await asyncio.sleep(CROWD_SECONDS / 2)
                status, _, seconds = await caller.call("DELETE")
                assert status == 200
                # The owner's decision is waited for.
                assert seconds <= 0.6
                assert not crowd.done()
                await crowd

        run_in_virtual_time(scenario())

    def test_cancellation_that_waits_goes_first_once_its_job_is_known(self):
        """Guards against an accepted job that waits with unknown ones."""

        async def scenario():
            async with run_instance() as caller:
                first = asyncio.ensure_future(caller.call("DELETE", job_id=OTHER_ID))
                await asyncio.sleep(0.1)
                early = asyncio.ensure_future(caller.call("DELETE"))
                await asyncio.sleep(0.05)
                assert cancellations(caller) == [OTHER_ID]
                caller.store.put(JOBS_TOPIC, JOB_ID, encode_job(JOB))
                await caller.views.jobs_tail.catch_up()
                again = asyncio.ensure_future(caller.call("DELETE"))
                await asyncio.sleep(0.05)
                assert cancellations(caller) == [OTHER_ID, JOB_ID]
                await asyncio.gather(first, early, again)

        run_in_virtual_time(scenario())

    def test_one_account_leaves_room_for_others(self):
        """Guards against a flood that takes the cancellations of all accounts."""

        async def scenario():
            async with run_instance() as caller:
                for number in range(1, MAX_EARLY_CANCELLATIONS // 2 + 1):
                    key = f"{CANCEL_PREFIX}{number:016x}"
                    caller.store.put(JOBS_TOPIC, key, b'{"account":"flood"}')
                await caller.views.jobs_tail.catch_up()
                flood = await outcome_of(caller, JOB_ID, "flood")
                assert flood is ResultCode.CANCELLATIONS_FULL
                other = await outcome_of(caller, JOB_ID, "other")
                assert other is ResultCode.DONE

        run_in_virtual_time(scenario())

    def test_rejection_says_when_to_come_back(self):
        async def scenario():
            async with run_instance() as caller:
                outcomes = []
                for number in range(400):
                    call = caller.call("DELETE", job_id=f"{number:016x}")
                    outcomes.append(asyncio.ensure_future(call))
                answers = await asyncio.gather(*outcomes)
                statuses = [status for status, _, _ in answers]
                assert set(statuses) == {410, 503}
                rejected = answers[statuses.index(503)]
                assert rejected[1]["code"] == ResultCode.CANCELLATIONS_FULL
                # It does not wait for those before it.
                assert rejected[2] <= 0.1

        run_in_virtual_time(scenario())

    def test_lost_append_holds_no_room_for_good(self):
        async def scenario():
            async with run_instance() as caller:
                caller.store.append_fault = hang
                assert (await caller.call("DELETE"))[0] == 504
                await asyncio.sleep(10.0)
                caller.store.append_fault = answer_after(0.01)
                assert (await caller.call("DELETE"))[0] == 410

        run_in_virtual_time(scenario())
