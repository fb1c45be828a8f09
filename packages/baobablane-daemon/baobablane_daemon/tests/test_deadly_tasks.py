"""Test tasks that crash each upstream that starts them."""

import pytest
from baobablane_standin.platform._deployment import PATH_PREFIX

from .platform_deployment import JOB, run_deployment

# After three crashes a task may be started twice more.
MAX_STARTS = 5
OTHER_JOB = "00000000000000b2"


async def submit_deadly(deployment, entry, **step):
    """Submit a job of one task that crashes its upstream 10 ms after its start."""
    body = {"spec": "10 crash", "steps": [{"count": 1, "cpu": 1000, **step}]}
    status, _ = await deployment.call(entry, "POST", PATH_PREFIX + JOB, body)
    assert status == 200


async def wait_until_failed_or_started_too_often(deployment, entry):
    """Wait until the deadly job has failed, or has crashed too many upstreams."""

    async def is_over():
        is_failed = await deployment.state(entry) == "failed"
        return is_failed or len(deployment.starts()) > MAX_STARTS

    await deployment.wait_for(is_over)


class TestDeadlyTask:
    """Test that a task that crashes its upstreams is given up."""

    @pytest.mark.parametrize("may_run_twice", [True, False])
    async def test_deadly_task_crashes_upstream_after_upstream(self, may_run_twice):
        async with run_deployment() as deployment:
            (entry,) = deployment.entries
            await submit_deadly(deployment, entry, speculative=may_run_twice)
            await wait_until_failed_or_started_too_often(deployment, entry)
            assert len(deployment.starts()) <= MAX_STARTS
            assert await deployment.state(entry) == "failed"

    async def test_job_beside_a_deadly_task_completes(self):
        async with run_deployment() as deployment:
            (entry,) = deployment.entries
            await submit_deadly(deployment, entry)
            assert await deployment.submit(entry, OTHER_JOB, 100, 6) == 200
            await wait_until_failed_or_started_too_often(deployment, entry)
            await deployment.wait_for_state(entry, "completed", OTHER_JOB)
            assert await deployment.state(entry) == "failed"

    @pytest.mark.parametrize("killed", [0, 1])
    async def test_deadly_task_is_given_up_though_its_owner_is_killed(self, killed):
        async with run_deployment(2) as deployment:
            survivor = deployment.entries[1 - killed]
            await submit_deadly(deployment, survivor)

            async def has_started():
                return deployment.starts() != []

            await deployment.wait_for(has_started)
            await deployment.entries[killed].kill()
            await wait_until_failed_or_started_too_often(deployment, survivor)
            assert len(deployment.starts()) <= MAX_STARTS
            assert await deployment.state(survivor) == "failed"
