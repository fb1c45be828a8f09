"""Test that a job which is too large is rejected before anything is stored."""

import pytest
from baobablane.deployment import PlatformLimits
from baobablane_standin.platform._deployment import PATH_PREFIX

from .platform_deployment import JOB, run_deployment

# The configuration's limit on bodies unless it names another.
DEFAULT_BODY_BYTES = 262_144


class TestLimits:
    """Test rejections for the size of a job, over HTTP."""

    @pytest.mark.parametrize(
        ("body", "status", "code"),
        [
            ({"steps": [{"cpu": -1}]}, 400, 220),
            ({"steps": [{}], "repeatCount": 10**9, "startAtMs": 1}, 400, 220),
            ({"steps": [{}], "other": "x" * DEFAULT_BODY_BYTES}, 413, 215),
            ({"steps": "x"}, 400, 200),
        ],
    )
    async def test_rejected_job_is_not_stored(self, body, status, code):
        async with run_deployment() as deployment:
            (entry,) = deployment.entries
            answer = await deployment.call(entry, "POST", PATH_PREFIX + JOB, body)
            assert answer[0] == status
            assert answer[1]["code"] == code
            status, _ = await deployment.call(entry, "GET", PATH_PREFIX + JOB)
            assert status == 410
            store = deployment.platform.store
            assert store.partition("keyed.jobs", 0).end_offset == 0

    async def test_job_that_exceeds_a_record_leaves_others_in_its_append_alone(self):
        limits = PlatformLimits(max_record_bytes=400)
        async with run_deployment(limits=limits) as deployment:
            (entry,) = deployment.entries
            body = {"spec": "x" * 1_000, "steps": [{"cpu": 1000}]}
            answer = await deployment.call(entry, "POST", PATH_PREFIX + JOB, body)
            assert answer[0] == 413
            other = "00000000000000b2"
            assert await deployment.submit(entry, other) == 200
            await deployment.wait_for_state(entry, "completed", other)
