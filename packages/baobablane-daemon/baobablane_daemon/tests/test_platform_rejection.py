"""Test rejections for load, over HTTP."""

from baobablane.admission import AccountLoad, LoadSummary, PoolLoad, encode_load
from baobablane_standin.platform._deployment import (
    API_KEY,
    PATH_PREFIX,
    POOL,
    QUEUE_HOST,
)

from baobablane_daemon.jobs import unix_ms

from .platform_deployment import JOB, run_deployment

BODY = {"spec": "10", "steps": [{"count": 1, "cpu": 1000, "estimatedMs": 10}]}
# 5,000 core-seconds of small jobs wait for 16 cores, so a job takes 313 s.
FLOOD = AccountLoad("account-a", 0, 1.0, 5_000.0, 0.0, 1_000_000)
POOL_LOAD = PoolLoad(16.0, 0.0, 0.0, 0.0, 8.0, 5_000.0, 16.0, 0.0, (FLOOD,))


class LoadSource:
    """Publish load records in place of the owner."""

    def __init__(self, deployment):
        """Start with versions above those of the deployment's owner."""
        self.deployment = deployment
        self.version = 2**50
        self.sent = 0

    def publish(self):
        """Store a fresh record with a long backlog of the only account."""
        self.version += 1
        summary = LoadSummary(unix_ms(), self.version, {POOL: POOL_LOAD})
        store = self.deployment.platform.store
        store.put("keyed.progress", "load", encode_load(summary))

    async def submit(self, job):
        """Send a job; return the status, the result code and Retry-After."""
        (entry,) = self.deployment.entries
        async with self.deployment.session.post(
            f"http://{entry.address}{PATH_PREFIX}{job}",
            json=BODY,
            headers={"Host": QUEUE_HOST, "Authorization": f"Bearer {API_KEY}"},
        ) as response:
            answer = await response.json()
            retry_after = response.headers.get("Retry-After", "0")
            return response.status, answer.get("code"), int(retry_after)

    async def submit_until_rejected(self):
        """Publish and send new jobs until one is rejected; return it and the answer."""
        rejected = []

        async def is_rejected():
            self.publish()
            self.sent += 1
            job = f"{self.sent:016x}"
            answer = await self.submit(job)
            rejected.append((job, answer))
            return answer[0] == 429

        await self.deployment.wait_for(is_rejected)
        return rejected[-1]


class TestRejection:
    """Test what a rejection promises."""

    async def test_rejected_job_is_not_stored(self):
        """Guard against jobs that run although their callers read that they won't."""
        async with run_deployment() as deployment:
            job, answer = await LoadSource(deployment).submit_until_rejected()
            assert answer[1] == 205
            # The backlog drains after 313 s, and the limit is at least 3 s.
            assert 1 <= answer[2] <= 313
            partition = deployment.platform.store.partition("keyed.jobs", 0)
            assert not any(job.encode() in record for record in partition.records)
            entry = deployment.entries[0]
            assert (await deployment.call(entry, "GET", PATH_PREFIX + job))[0] == 410

    async def test_known_job_is_not_rejected(self):
        """Guard against a rejection of a job that is already accepted."""
        async with run_deployment() as deployment:
            source = LoadSource(deployment)
            assert (await source.submit(JOB))[0] == 200
            await source.submit_until_rejected()
            assert (await source.submit(JOB))[0] == 200

    async def test_job_that_another_instance_has_stored_is_not_rejected(self):
        """Guard against a rejection while the view of jobs is behind."""
        async with run_deployment() as deployment:
            source = LoadSource(deployment)
            assert (await source.submit(JOB))[0] == 200
            partition = deployment.platform.store.partition("keyed.jobs", 0)
            value = next(r for r in partition.records if JOB.encode() in r)
            await source.submit_until_rejected()
            other = "00000000000000b2"
            partition.records.append(value.replace(JOB.encode(), other.encode()))
            assert (await source.submit(other))[0] == 200

    async def test_job_is_accepted_once_the_record_is_old(self):
        """Guard against rejections while no owner publishes."""
        async with run_deployment() as deployment:
            source = LoadSource(deployment)
            job, _ = await source.submit_until_rejected()

            async def is_accepted():
                return (await source.submit(job))[0] == 200

            await deployment.wait_for(is_accepted)
