"""Test entry instances on the stand-in platform over HTTP."""

import pytest
from baobablane.deployment import PlatformLimits
from baobablane_standin.platform._deployment import PATH_PREFIX

from .platform_deployment import JOB, run_deployment


class TestJobs:
    """Test jobs from their acceptance to their end."""

    async def test_accepted_job_runs_each_task_once_and_completes(self):
        async with run_deployment() as deployment:
            (entry,) = deployment.entries
            assert await deployment.submit(entry, count=3) == 200
            await deployment.wait_for_state(entry, "completed")
            assert len(deployment.starts()) == 3

    async def test_job_is_visible_at_every_entry_instance(self):
        async with run_deployment(2) as deployment:
            first, second = deployment.entries
            assert await deployment.submit(first) == 200
            assert await deployment.state(second) is not None
            await deployment.wait_for_state(second, "completed")

    async def test_repeated_submission_runs_the_job_once(self):
        async with run_deployment(2) as deployment:
            first, second = deployment.entries
            assert await deployment.submit(first) == 200
            await deployment.wait_for_state(first, "completed")
            assert await deployment.submit(second) == 200
            assert await deployment.submit(first) == 200
            assert len(deployment.starts()) == 1

    async def test_failing_job_is_retried_once_and_reported_failed(self):
        async with run_deployment() as deployment:
            (entry,) = deployment.entries
            body = {"spec": "5 fail", "steps": [{"count": 1, "cpu": 1000}]}
            await deployment.call(entry, "POST", PATH_PREFIX + JOB, body)
            await deployment.wait_for_state(entry, "failed")
            assert len(deployment.starts()) == 2

    async def test_running_job_can_be_cancelled(self):
        async with run_deployment() as deployment:
            (entry,) = deployment.entries
            await deployment.submit(entry, milliseconds=600_000)
            await deployment.wait_for_state(entry, "running")
            status, _ = await deployment.call(entry, "DELETE", PATH_PREFIX + JOB)
            assert status == 200
            assert await deployment.state(entry) == "cancelled"

    async def test_unknown_job_gets_status_410(self):
        async with run_deployment() as deployment:
            (entry,) = deployment.entries
            for method in ("GET", "DELETE"):
                status, _ = await deployment.call(entry, method, PATH_PREFIX + JOB)
                assert status == 410

    async def test_ended_job_is_deleted_after_its_retention(self):
        async with run_deployment(
            2, PlatformLimits(state_retention_seconds=0.1)
        ) as deployment:
            first, second = deployment.entries
            await deployment.submit(first)

            async def is_deleted():
                status, _ = await deployment.call(second, "GET", PATH_PREFIX + JOB)
                return status == 410 and deployment.starts() != []

            await deployment.wait_for(is_deleted)

    async def test_waiting_jobs_are_counted(self):
        async with run_deployment() as deployment:
            (entry,) = deployment.entries
            assert await deployment.submit(entry, cpu=1_000_000) == 200
            _, answer = await deployment.call(entry, "GET", PATH_PREFIX)
            assert answer == {"pendingCount": 1}


class TestKeys:
    """Test that unknown or withdrawn keys and unknown queues are rejected."""

    async def test_unknown_key_is_rejected(self):
        async with run_deployment() as deployment:
            (entry,) = deployment.entries
            status, _ = await deployment.call(entry, "GET", PATH_PREFIX, key="other")
            assert status == 401

    async def test_unknown_queue_is_not_found(self):
        async with run_deployment() as deployment:
            (entry,) = deployment.entries
            status, _ = await deployment.call(entry, "GET", "/other/")
            assert status == 404

    async def test_withdrawn_key_is_rejected(self):
        async with run_deployment() as deployment:
            (entry,) = deployment.entries
            deployment.platform.write_config(2, ["new"])

            async def is_rejected():
                status, _ = await deployment.call(entry, "GET", PATH_PREFIX)
                return status == 401

            await deployment.wait_for(is_rejected)


class TestFailures:
    """Test store outages, lost writes and responses, lost owners and restarts."""

    async def test_rejected_job_never_runs(self):
        async with run_deployment() as deployment:
            (entry,) = deployment.entries
            deployment.platform.store.switches.is_down = True
            assert await deployment.submit(entry) == 503
            deployment.platform.store.switches.is_down = False
            other = "00000000000000b2"

            async def is_accepted():
                return await deployment.submit(entry, other) == 200

            await deployment.wait_for(is_accepted)
            await deployment.wait_for_state(entry, "completed", other)
            assert deployment.starts() == []

    async def test_job_is_accepted_when_the_append_response_is_lost(self):
        async with run_deployment() as deployment:
            (entry,) = deployment.entries
            deployment.platform.store.switches.loses_responses = True
            assert await deployment.submit(entry) == 200
            deployment.platform.store.switches.loses_responses = False
            await deployment.wait_for_state(entry, "completed")
            assert len(deployment.starts()) == 1

    async def test_lost_write_is_no_rejection(self):
        async with run_deployment() as deployment:
            (entry,) = deployment.entries
            deployment.platform.store.switches.loses_writes = True
            assert await deployment.submit(entry) == 504
            deployment.platform.store.switches.loses_writes = False
            assert await deployment.submit(entry) == 200

    async def test_job_is_rejected_without_an_append_during_a_store_outage(self):
        async with run_deployment() as deployment:
            (entry,) = deployment.entries
            deployment.platform.store.switches.is_down = True
            await deployment.wait_until_not_ready(entry)
            append_count = deployment.platform.append_count()
            assert await deployment.submit(entry) == 503
            assert deployment.platform.append_count() == append_count

    @pytest.mark.parametrize("is_graceful", [True, False])
    async def test_running_task_survives_a_change_of_owner(self, is_graceful):
        async with run_deployment(2) as deployment:
            first, second = deployment.entries
            await deployment.submit(second, milliseconds=4000)
            await deployment.wait_for_state(second, "running")
            if is_graceful:
                first.stop.set()
            else:
                await first.kill()
            await deployment.wait_for_state(second, "completed")
            assert len(deployment.starts()) == 1

    async def test_restarted_upstream_runs_its_tasks_again(self):
        async with run_deployment() as deployment:
            (entry,) = deployment.entries
            await deployment.submit(entry, milliseconds=300, count=2)
            await deployment.wait_for_state(entry, "running")
            for upstream in deployment.platform.upstreams:
                upstream.restart()
                deployment.platform.register_upstream(upstream)
            await deployment.wait_for_state(entry, "completed")
            assert {run for _, run in deployment.starts()} <= {1, 2}
