"""Test that rubbish and unexpected errors cost a log line, not the process.

Each of these used to end the process or one of its tasks, and a record met each next
owner again.
"""

import asyncio
import json

from baobablane_standin.platform._deployment import PATH_PREFIX

from baobablane_daemon.decision_log import DecisionLog

from .platform_deployment import JOB, run_deployment

OTHER = "00000000000000b2"
RUBBISH = [b"\xff\xfe", b"null", b"[]", b'{"a":', b"7", b'{"version":"x"}']

RECORDS = [
    ("keyed.jobs", OTHER),
    ("keyed.jobs", "cancel/"),
    ("keyed.progress", OTHER),
    ("keyed.progress", "wave/x"),
    ("keyed.progress", "order/i1"),
    ("keyed.progress", "rises"),
    ("keyed.op", "config"),
    ("keyed.op", "wave/3"),
    ("keyed.servers", "u7"),
]
ROWS = [
    [7, 1, "", 4],
    ["x", 1, "", 4],
    [f"{OTHER}.0.0.0", "1", "", 4],
    [f"{OTHER}.0.0.0", 1, None, 4],
    [f"{OTHER}.0.0.0", 1, "", "half"],
    [],
    None,
]


async def check_serves(deployment, entry, job=JOB):
    """Check that a job is accepted and completed, and no process has ended."""
    assert await deployment.submit(entry, job) == 200
    await deployment.wait_for_state(entry, "completed", job)
    assert not any(entry.task.done() for entry in deployment.entries)


class TestStoredRubbish:
    """Test malformed records under each topic and key."""

    async def test_malformed_records_are_skipped(self):
        async with run_deployment() as deployment:
            (entry,) = deployment.entries
            for topic, key in RECORDS:
                for value in RUBBISH:
                    deployment.platform.store.put(topic, key, value)
            await check_serves(deployment, entry)

    async def test_new_owner_skips_malformed_records_too(self):
        async with run_deployment(2) as deployment:
            first, second = deployment.entries
            for topic, key in RECORDS:
                for value in RUBBISH:
                    deployment.platform.store.put(topic, key, value)
            await first.kill()
            deployment.entries.remove(first)
            await check_serves(deployment, second)

    async def test_job_that_cannot_be_scheduled_stops_no_other(self):
        async with run_deployment() as deployment:
            (entry,) = deployment.entries
            needs = {"cpu_millis": 1, "memory_mb": 0, "gpus": 0}
            job = {
                "id": OTHER,
                "queue": "queue-a",
                "pool": "pool-a",
                "account": "account-a",
                "spec": "1",
                "steps": [{"count": 10_000, "needs": needs, "after": [5]}],
                "accepted_ms": 1,
                "first_due_ms": 1,
                "occurrences": 10**9,
            }
            deployment.platform.store.put("keyed.jobs", OTHER, json.dumps(job).encode())
            await check_serves(deployment, entry)
            assert deployment.starts(OTHER) == []
            assert await deployment.state(entry, OTHER) == "pending"


class TestRecords:
    """Test a job whose progress can't be recorded."""

    async def test_unrecorded_start_is_not_sent(self, monkeypatch):
        from baobablane.errors import JobLimitError

        from baobablane_daemon.owner import _owner

        original = _owner.encode_progress

        def encode(progress, max_bytes):
            if "0.0.7" in progress.tasks:
                raise JobLimitError("progress", 9, 0, 1)
            return original(progress, max_bytes)

        monkeypatch.setattr(_owner, "encode_progress", encode)
        async with run_deployment() as deployment:
            (entry,) = deployment.entries
            assert await deployment.submit(entry, OTHER, count=8) == 200
            await check_serves(deployment, entry)
            assert deployment.starts(OTHER) == []


class TestUpstreams:
    """Test upstreams that answer with rubbish."""

    async def test_malformed_rows_of_a_report_leave_the_others(self):
        async with run_deployment() as deployment:
            (entry,) = deployment.entries
            for upstream in deployment.platform.upstreams:
                upstream.extra_rows = ROWS
            await check_serves(deployment, entry)

    async def test_unexpected_error_of_an_order_does_not_end_the_owner(
        self, monkeypatch
    ):
        async with run_deployment() as deployment:
            (entry,) = deployment.entries
            starts = []

            async def fail_once(client, *args, **kwargs):
                starts.append(args)
                if len(starts) == 1:
                    raise KeyError("an unexpected error")
                return await original(client, *args, **kwargs)

            from baobablane_platform import UpstreamOrderClient

            original = UpstreamOrderClient.start
            monkeypatch.setattr(UpstreamOrderClient, "start", fail_once)
            await check_serves(deployment, entry)
            assert len(starts) >= 2

    async def test_unexpected_error_of_a_poll_is_retried(self, monkeypatch):
        async with run_deployment() as deployment:
            (entry,) = deployment.entries
            polls = []

            async def fail_first(client, *args, **kwargs):
                polls.append(args)
                if len(polls) <= 3:
                    raise RuntimeError("an unexpected error")
                return await original(client, *args, **kwargs)

            from baobablane_platform import UpstreamOrderClient

            original = UpstreamOrderClient.renew_leases
            monkeypatch.setattr(UpstreamOrderClient, "renew_leases", fail_first)
            await check_serves(deployment, entry)


class TestInstances:
    """Test rubbish in the list of instances."""

    async def test_unknown_state_of_an_instance_is_logged_once(self, monkeypatch):
        logged = []
        original = DecisionLog.info

        def info(log, event, **fields):
            if event == "instance-state-unknown":
                logged.append((fields["target"], fields["state"]))
            original(log, event, **fields)

        monkeypatch.setattr(DecisionLog, "info", info)
        async with run_deployment() as deployment:
            (entry,) = deployment.entries
            deployment.platform.set_instance_state("resting")
            await check_serves(deployment, entry)
            await check_serves(deployment, entry, OTHER)

            async def are_logged():
                return len(logged) >= len(deployment.platform.upstreams)

            await deployment.wait_for(are_logged)
        assert sorted(logged) == [("m-u0", "resting"), ("m-u1", "resting")]


class TestOwner:
    """Test an error in the owner's own work."""

    async def test_owner_that_fails_gives_up_the_ownership_only(self, monkeypatch):
        async with run_deployment(2) as deployment:
            first, second = deployment.entries
            from baobablane_daemon.owner import _owner

            failures = []
            original = _owner.Owner._run_round

            async def fail_once(owner):
                if not failures:
                    failures.append(owner)
                    raise AssertionError("the owner's state is inconsistent")
                await original(owner)

            monkeypatch.setattr(_owner.Owner, "_run_round", fail_once)
            await check_serves(deployment, first)
            await check_serves(deployment, second, OTHER)
            assert failures


class TestCallers:
    """Test callers' requests that no page allows."""

    async def test_odd_path_is_denied(self):
        async with run_deployment() as deployment:
            (entry,) = deployment.entries
            for path in ("/", "/jobs/%00", "/jobs/" + "a" * 5_000):
                status, _ = await deployment.call(entry, "GET", path)
                assert status == 404
            await check_serves(deployment, entry)

    async def test_unexpected_error_is_an_unknown_outcome(self, monkeypatch):
        async with run_deployment() as deployment:
            (entry,) = deployment.entries
            from baobablane.jobs import JobTable

            def fail(job_table, job_id):
                raise KeyError(job_id)

            with monkeypatch.context() as patch:
                patch.setattr(JobTable, "state", fail)
                status, answer = await deployment.call(entry, "GET", PATH_PREFIX + JOB)
            assert (status, answer["code"]) == (500, 309)
            await check_serves(deployment, entry)

    async def test_body_that_breaks_off_is_no_job(self):
        async with run_deployment() as deployment:
            (entry,) = deployment.entries
            host, _, port = entry.address.partition(":")
            _, writer = await asyncio.open_connection(host, int(port))
            writer.write(
                f"POST {PATH_PREFIX}{JOB} HTTP/1.1\r\nHost: queues.example\r\n"
                "Authorization: Bearer key-a\r\nContent-Length: 100\r\n\r\n{".encode()
            )
            await writer.drain()
            writer.close()
            await check_serves(deployment, entry, OTHER)
            assert deployment.starts() == []
