"""Test entry instances as processes of their own, with rubbish beside ordinary jobs.

Each piece of rubbish used to end a process, or each next owner in turn.
"""

import asyncio
import json
import os
import signal
import sys
from contextlib import asynccontextmanager
from dataclasses import dataclass
from pathlib import Path

import yaml
from baobablane.deployment import PlatformLimits
from baobablane_standin.platform._deployment import (
    API_KEY,
    HOST,
    PATH_PREFIX,
    POOL,
    QUEUE_HOST,
)

from .platform_deployment import JOB, find_free_port, run_deployment

ENTRY_POINT = Path(__file__).resolve().parents[4] / "deploy" / "entry.py"
RUBBISH = (b"\xff\xfe", b"null", b"[]", b'{"a":', b"7", b'{"version":"x"}')
RECORDS = (
    ("keyed.jobs", "00000000000000f1"),
    ("keyed.jobs", "cancel/"),
    ("keyed.progress", "00000000000000f2"),
    ("keyed.progress", "wave/x"),
    ("keyed.progress", "order/i1"),
    ("keyed.progress", "rises"),
    ("keyed.op", "wave/3"),
    ("keyed.op", "evacuate/"),
    ("keyed.servers", "u7"),
)
# A report with numbers that no task can have.
ABSURD_ROWS = [
    ["00000000000000f3.0.0.0", 10**15, "", 10**12, -(10**9)],
    ["00000000000000f3.-1.0.99999999", -3, "", -1],
]
BOMB = {
    "steps": [{"count": 10_000}],
    "repeatCount": 1_000_000_000,
    "intervalMs": 0,
    "startAtMs": 1,
}


@dataclass
class EntryProcess:
    """Represent an entry instance that runs as a process."""

    address: str
    process: asyncio.subprocess.Process
    # Where the process writes its log.
    log_path: Path
    metrics_address: str
    # Where other instances watch the owner.
    feed_address: str

    def events(self):
        """Return the names of the events in its log."""
        # The last line may be incomplete.
        lines = self.log_path.read_text().split("\n")[:-1]
        return [json.loads(line)["event"] for line in lines if line.startswith("{")]


async def start_process(deployment, folder, name, limits=None):
    """Start an entry instance that can be watched, and wait until it is ready."""
    address = f"{HOST}:{find_free_port()}"
    ports = [find_free_port(), find_free_port()]
    settings = {
        "node": name,
        "zone": "zone-a",
        "ip": HOST,
        "portRange": ports,
        "limits": limits or {},
        "listenAddrs": {"front": address},
        "platform": {"address": deployment.platform.address},
        "cloud": {"address": deployment.platform.address},
    }
    path = folder / f"{name}.yaml"
    path.write_text(yaml.safe_dump(settings))
    log_path = folder / f"{name}.log"
    with log_path.open("wb") as log:
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            str(ENTRY_POINT),
            env={**os.environ, "BAOBABLANE_BOOT": str(path)},
            stdout=log,
            stderr=log,
        )
    metrics_address, feed_address = (f"{HOST}:{port}" for port in ports)
    entry = EntryProcess(address, process, log_path, metrics_address, feed_address)
    await deployment.wait_for(lambda: deployment.is_ready(entry))
    return entry


@asynccontextmanager
async def run_processes(folder, count, limits=None):
    """Run a stand-in platform and entry instances as processes."""
    async with run_deployment(0, PlatformLimits()) as deployment:
        entries = []
        try:
            for number in range(count):
                name = f"entry{number}"
                entries.append(await start_process(deployment, folder, name, limits))
            yield deployment, entries
        finally:
            for entry in entries:
                if entry.process.returncode is None:
                    entry.process.send_signal(signal.SIGKILL)
                    await entry.process.wait()


async def find_owner(deployment, entries):
    """Wait until an entry instance is the owner; return it and another one."""

    async def has_begun():
        return any("owner-begins" in entry.events() for entry in entries)

    await deployment.wait_for(has_begun)
    (owner,) = (entry for entry in entries if "owner-begins" in entry.events())
    return owner, next(entry for entry in entries if entry is not owner)


def write_large_configuration(deployment):
    """Write a configuration of 3,000 queues of which one has a malformed field."""
    routes = [
        {
            "name": f"q{number}",
            "host": QUEUE_HOST,
            "pathPrefix": PATH_PREFIX if number == 0 else f"/q{number}/",
            "service": POOL,
            "priority": "urgent" if number == 7 else 0,
        }
        for number in range(3_000)
    ]
    tenants = [{"name": "account-a", "apiKeys": [API_KEY]}]
    configuration = {
        "version": 9,
        "routes": routes,
        "services": [{"name": POOL}],
        "tenants": tenants,
    }
    deployment.platform.store.put(
        "keyed.op", "config", json.dumps(configuration).encode()
    )


async def check_serves(deployment, entry, job):
    """Check that a job is accepted, runs once and is shown as completed."""
    assert await deployment.submit(entry, job) == 200
    await deployment.wait_for_state(entry, "completed", job)
    assert len(deployment.starts(job)) == 1


class TestRubbish:
    """Test rubbish from callers, the store, upstreams and operators together."""

    async def test_callers_of_good_jobs_see_nothing_of_it(self, tmp_path):
        async with run_processes(tmp_path, 2) as (deployment, entries):
            first, second = entries
            status, answer = await deployment.call(
                first, "POST", PATH_PREFIX + "00000000000000f0", BOMB
            )
            assert (status, answer["code"]) == (400, 220)
            for topic, key in RECORDS:
                for value in RUBBISH:
                    deployment.platform.store.put(topic, key, value)
            for upstream in deployment.platform.upstreams:
                upstream.extra_rows = ABSURD_ROWS
            write_large_configuration(deployment)
            await check_serves(deployment, first, JOB)
            await check_serves(deployment, second, "00000000000000a2")
            assert [entry.process.returncode for entry in entries] == [None, None]
            for entry in entries:
                assert "record-skipped" in entry.events()
                assert "owner-failed" not in entry.events()

    async def test_next_owner_serves_beside_the_same_rubbish(self, tmp_path):
        async with run_processes(tmp_path, 2) as (deployment, entries):
            for topic, key in RECORDS:
                for value in RUBBISH:
                    deployment.platform.store.put(topic, key, value)
            owner, other = await find_owner(deployment, entries)
            owner.process.send_signal(signal.SIGKILL)
            await owner.process.wait()
            await check_serves(deployment, other, JOB)
            assert other.process.returncode is None


class TestSuccession:
    """Test instances that watch the owner over connections of their own."""

    async def test_killed_owner_is_replaced_before_its_heartbeats_time_out(
        self, tmp_path
    ):
        """Guards against 1.5 s in which nothing is placed."""
        async with run_processes(tmp_path, 2) as (deployment, entries):
            owner, other = await find_owner(deployment, entries)

            async def is_watched():
                return "owner-watched" in other.events()

            await deployment.wait_for(is_watched)
            await check_serves(deployment, other, JOB)
            owner.process.send_signal(signal.SIGKILL)
            await owner.process.wait()
            await check_serves(deployment, other, "00000000000000a2")
            events = other.events()
            assert events.index("owner-suspected") < events.index("owner-begins")


class TestSuspension:
    """Test an owner that is suspended while another one takes over."""

    async def test_task_of_a_suspended_owner_runs_once(self, tmp_path):
        async with run_processes(tmp_path, 2) as (deployment, entries):
            owner, other = await find_owner(deployment, entries)
            assert await deployment.submit(other, JOB, milliseconds=4_000) == 200
            await deployment.wait_for_state(other, "running")
            owner.process.send_signal(signal.SIGSTOP)

            async def has_taken_over():
                return "owner-begins" in other.events()

            await deployment.wait_for(has_taken_over)
            owner.process.send_signal(signal.SIGCONT)

            async def has_ended():
                return "owner-ended" in owner.events()

            await deployment.wait_for(has_ended)
            await deployment.wait_for_state(other, "completed")
            assert len(deployment.starts()) == 1
