"""Test entry instances with narrow links, which follow the states of jobs only."""

from baobablane_standin.platform import PATH_PREFIX
from baobablane_standin.platform._partition import AppendRejectedError

from .platform_deployment import JOB, run_deployment

NARROW_LINK_MBIT = 10.0


class TestNarrowLink:
    """Test an entry instance that does not read the progress of jobs."""

    async def test_narrow_instance_shows_a_job_as_completed(self):
        """Guards against states that only the readers of all progress see."""
        async with run_deployment(1) as deployment:
            (wide,) = deployment.entries
            narrow = await deployment.start_entry("narrow", NARROW_LINK_MBIT)
            assert await deployment.submit(wide) == 200
            await deployment.wait_for_state(narrow, "completed")

    async def test_job_from_before_the_first_reader_is_shown_as_completed(self):
        """Guards against a reader that misses what was recorded before it came."""
        async with run_deployment(1) as deployment:
            (wide,) = deployment.entries
            assert await deployment.submit(wide) == 200
            await deployment.wait_for_state(wide, "completed")
            narrow = await deployment.start_entry("narrow", NARROW_LINK_MBIT)
            await deployment.wait_for_state(narrow, "completed")

    async def test_narrow_instance_becomes_the_owner(self):
        """Guards against a deployment that stops with its last wide link."""
        async with run_deployment(1) as deployment:
            (wide,) = deployment.entries
            narrow = await deployment.start_entry("narrow", NARROW_LINK_MBIT)
            assert await deployment.submit(wide) == 200
            await deployment.wait_for_state(narrow, "completed")
            await wide.kill()
            job = "00000000000000b2"
            assert await deployment.submit(narrow, job) == 200

            async def is_completed():
                return await deployment.state(narrow, job) == "completed"

            await deployment.wait_for(is_completed)
            assert len(deployment.starts(job)) == 1


class TestCancellation:
    """Test a cancellation at an instance that does not know of the end yet."""

    async def test_completed_job_is_not_shown_as_cancelled(self):
        """Guards against an answer that the end, stored but not published, belies."""

        def reject(*append):
            raise AppendRejectedError(503, {})

        async with run_deployment(1) as deployment:
            (wide,) = deployment.entries
            narrow = await deployment.start_entry("narrow", NARROW_LINK_MBIT)
            assert await deployment.submit(wide) == 200
            deployment.platform.store.partition("keyed.states", 0).append = reject
            await deployment.wait_for_state(wide, "completed")
            status, answer = await deployment.call(narrow, "DELETE", PATH_PREFIX + JOB)
            assert (status, answer.get("state")) != (200, "cancelled")
