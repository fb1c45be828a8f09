"""Test that each new job is answered before its caller gives up.

A caller that got no answer sends its job again, after it has waited for nothing.
"""

import asyncio

from baobablane.errors import RejectedError, ResultCode
from baobablane_platform import CallerWait, KeyedRecord, StoreRejectedError

from .caller import JOB, QUEUE, run_instance
from .scripted_store import answer_after, fail_with, hang
from .virtual_time import run_in_virtual_time

# Leaves time for one attempt at another instance.
BOUND_SECONDS = 2.4
# Of virtual time; longer than any request takes.
HANG_SECONDS = 600.0


async def submit(caller, patience_seconds=3.0):
    """Return the result code of a new job, and the seconds until then."""
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    code = ResultCode.DONE
    try:
        wait = CallerWait(started_at, patience_seconds)
        await caller.actions.submit(JOB, QUEUE, wait)
    except RejectedError as error:
        code = error.code
    return code, loop.time() - started_at


class TestSubmission:
    """Test submissions while appends have no response."""

    def test_submission_behind_unanswered_appends_ends(self):
        """Guards against a wait for earlier appends, and then for its own."""

        async def scenario():
            async with run_instance() as caller:
                caller.store.append_fault = hang
                writes = []
                for number in range(40):
                    record = KeyedRecord(f"reader/{number}", b"1")
                    write = caller.job_writer.write(record)
                    writes.append(asyncio.gather(write, return_exceptions=True))
                    await asyncio.sleep(0.03)
                code, seconds = await submit(caller)
                await asyncio.gather(*writes)
                assert code is ResultCode.ACCEPTANCE_UNKNOWN
                assert seconds <= BOUND_SECONDS

        run_in_virtual_time(scenario())

    def test_job_is_stored_after_its_caller_was_answered(self):
        """Guards against an unknown outcome for a job that is then dropped."""

        async def scenario():
            async with run_instance() as caller:
                caller.store.append_fault = answer_after(1.5)
                code, seconds = await submit(caller, patience_seconds=1.0)
                assert code is ResultCode.ACCEPTANCE_UNKNOWN
                assert seconds <= 0.8 + 1e-9
                await asyncio.sleep(2.0)
                assert (await submit(caller)) == (ResultCode.DONE, 0.0)

        run_in_virtual_time(scenario())


class TestRepeatedSubmission:
    """Test a job that is sent again while its first append has no response."""

    async def repeat(self, fault):
        """Return the results of a job and of its repetition under a fault."""
        async with run_instance() as caller:
            caller.store.append_fault = hang
            first = await submit(caller, patience_seconds=2.0)
            caller.store.append_fault = fault
            return first, await submit(caller)

    def test_repetition_is_stored_once_the_store_answers(self):
        """Guards against the failure of an append from before the repetition."""

        async def scenario():
            (first, _), (second, seconds) = await self.repeat(answer_after(0.01))
            assert first is ResultCode.ACCEPTANCE_UNKNOWN
            assert second is ResultCode.DONE
            assert seconds <= BOUND_SECONDS

        run_in_virtual_time(scenario())

    def test_rejected_repetition_is_unknown(self):
        """Guards against a rejection of a job whose first append may be stored."""

        async def scenario():
            rejection = StoreRejectedError("the store returned status 503")
            _, (second, seconds) = await self.repeat(fail_with(rejection))
            assert second is ResultCode.ACCEPTANCE_UNKNOWN
            assert seconds <= BOUND_SECONDS

        run_in_virtual_time(scenario())


class TestSubmissionAfterUnknownOutcome:
    """Test a job that is sent again after its append was given up.

    The store may still carry the append out, so 503 would say what nobody knows.
    """

    GIVEN_UP_SECONDS = 10.0

    async def give_up(self, caller):
        """Let the append of a job have no response, for as long as it is tried."""
        caller.store.append_fault = hang
        code, _ = await submit(caller)
        assert code is ResultCode.ACCEPTANCE_UNKNOWN
        await asyncio.sleep(self.GIVEN_UP_SECONDS)
        assert not caller.job_writer.is_writing(JOB.id)

    def test_append_that_the_store_rejects_leaves_it_unknown(self):
        """Guards against a job that is rejected and runs."""

        async def scenario():
            async with run_instance() as caller:
                await self.give_up(caller)
                rejection = StoreRejectedError("the store returned status 503")
                caller.store.append_fault = fail_with(rejection)
                code, _ = await submit(caller)
                assert code is ResultCode.ACCEPTANCE_UNKNOWN

        run_in_virtual_time(scenario())

    def test_lost_store_leaves_it_unknown(self):
        """Guards against the same without an attempt to store the job."""

        async def scenario():
            async with run_instance() as caller:
                await self.give_up(caller)
                caller.store.hang_all()
                await asyncio.sleep(3.0)
                code, seconds = await submit(caller)
                assert (code, seconds) == (ResultCode.ACCEPTANCE_UNKNOWN, 0.0)

        run_in_virtual_time(scenario())

    def test_other_jobs_are_rejected(self):
        async def scenario():
            async with run_instance() as caller:
                caller.store.hang_all()
                await asyncio.sleep(3.0)
                code, _ = await submit(caller)
                assert code is ResultCode.LOG_UNAVAILABLE

        run_in_virtual_time(scenario())


class TestBody:
    """Test bodies of new jobs that arrive slowly, or only in part."""

    BODY = b'{"steps":[{"count":1,"cpu":1000,"estimatedMs":100}]}'

    async def call(self, caller, pause_seconds, parts, patience_ms=3000):
        """Send a body in as many parts, of which a late one may never come."""
        size = -(-len(self.BODY) // parts)
        chunks = [self.BODY[n * size : (n + 1) * size] for n in range(parts)]

        async def receive():
            await asyncio.sleep(pause_seconds)
            chunk = chunks.pop(0)
            return {"type": "http.request", "body": chunk, "more_body": bool(chunks)}

        async with asyncio.timeout(HANG_SECONDS):
            return await caller.call("POST", patience_ms, receive=receive)

    def test_body_that_stops_is_rejected(self):
        """Guards against a connection that is held by a body that never arrives."""

        async def scenario():
            async with run_instance() as caller:
                status, body, seconds = await self.call(caller, 10_000.0, 2)
                assert (status, body["code"]) == (503, ResultCode.BODY_TOO_SLOW)
                assert seconds == 3.0
                assert caller.is_closed
                caller.log.flush()
                assert b"body-too-slow" in caller.output.getvalue()
                assert caller.store.append_count == 0

        run_in_virtual_time(scenario())

    def test_body_that_trickles_is_rejected(self):
        """Guards against a bound that each part begins anew."""

        async def scenario():
            async with run_instance() as caller:
                status, _, seconds = await self.call(caller, 2.0, 20, 10_000)
                assert (status, seconds) == (503, 10.0)
                assert caller.store.append_count == 0

        run_in_virtual_time(scenario())

    def test_body_that_stops_is_rejected_however_long_its_caller_waits(self):
        async def scenario():
            async with run_instance() as caller:
                status, _, seconds = await self.call(caller, 5.0, 4, 60_000)
                assert (status, seconds) == (503, 3.0)

        run_in_virtual_time(scenario())

    def test_slow_body_is_accepted_within_its_callers_wait(self):
        """Guards against an unknown outcome, without an attempt to store the job."""

        async def scenario():
            async with run_instance() as caller:
                status, _, seconds = await self.call(caller, 2.0, 4, 10_000)
                assert status == 200
                assert 8.0 <= seconds <= 10.0

        run_in_virtual_time(scenario())

    def test_body_late_in_its_callers_wait_leaves_time_to_store_it(self):
        async def scenario():
            async with run_instance() as caller:
                status, _, seconds = await self.call(caller, 1.4, 2)
                assert status == 200
                assert 2.8 <= seconds <= 3.0

        run_in_virtual_time(scenario())
