"""Measure how soon instances answer that were started while the store was away."""

import argparse
import asyncio
import os
import random
import sys
import tempfile
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from pathlib import Path

import aiohttp
import yaml
from baobablane.deployment import Resources
from baobablane.jobs import (
    Job,
    JobProgress,
    JobState,
    Step,
    encode_job,
    encode_progress,
)
from baobablane_platform import SETTINGS_VARIABLE
from baobablane_standin.platform import PlatformStandin
from baobablane_standin.platform._deployment import (
    API_KEY,
    HOST,
    PATH_PREFIX,
    POOL,
    QUEUE_HOST,
)

ENTRY_POINT = Path(__file__).resolve().parent.parent / "deploy" / "entry.py"
INSTANCE_COUNT = 3
AWAY_SECONDS = 5.0
POLL_SECONDS = 0.02
TIMEOUT_SECONDS = 60.0
# One job of so many has not ended.
OPEN_JOB_INTERVAL = 10
SPEC = "x" * 60
FIRST_PORT, LAST_PORT = 30_000, 32_000
RESULT_NAMES = ("ready", "ended job", "open job", "unknown job", "new job")


def measure_store_return(job_counts: list[int], fault: str, link_mbit: float) -> None:
    """Print when each answer first came, in seconds after the store's return."""
    for job_count in job_counts:
        results = asyncio.run(_measure(job_count, fault, link_mbit))
        text = ", ".join(
            f"{name} {min(seconds):.2f} to {max(seconds):.2f} s"
            for name, seconds in results.items()
        )
        print(f"{job_count} jobs, store {fault}, {link_mbit:g} Mbit/s: {text}")


async def _measure(
    job_count: int, fault: str, link_mbit: float
) -> dict[str, list[float]]:
    async with PlatformStandin() as platform:
        _put_jobs(platform, job_count)
        switches = platform.store.switches
        if link_mbit < 1000:
            switches.read_bandwidth = link_mbit * 1e6 / 8
        setattr(switches, f"is_{fault}", True)
        async with _run_instances(platform.address, link_mbit) as addresses:
            await asyncio.sleep(AWAY_SECONDS)
            setattr(switches, f"is_{fault}", False)
            returned_at = time.monotonic()
            async with aiohttp.ClientSession() as session:
                per_instance = await asyncio.gather(
                    *(
                        _measure_instance(session, address, returned_at)
                        for address in addresses
                    )
                )
    return {
        name: [seconds[index] for seconds in per_instance]
        for index, name in enumerate(RESULT_NAMES)
    }


def _put_jobs(platform: PlatformStandin, count: int) -> None:
    step = Step(1, Resources(64_000_000, 0, 0), 100)
    for number in range(count):
        job_id = f"{number:016x}"
        job = Job(job_id, "queue-a", POOL, "account-a", SPEC, (step,), 0)
        platform.store.put("keyed.jobs", job_id, encode_job(job))
        if number % OPEN_JOB_INTERVAL:
            progress = JobProgress(JobState.COMPLETED)
            platform.store.put("keyed.progress", job_id, encode_progress(progress))
            state = str(int(JobState.COMPLETED)).encode()
            platform.store.put("keyed.states", job_id, state)


@asynccontextmanager
async def _run_instances(
    store_address: str, link_mbit: float
) -> AsyncIterator[list[str]]:
    with tempfile.TemporaryDirectory() as folder:
        addresses: list[str] = []
        processes: list[asyncio.subprocess.Process] = []
        ports = random.sample(range(FIRST_PORT, LAST_PORT), INSTANCE_COUNT)
        try:
            for number, port in enumerate(ports):
                address = f"{HOST}:{port}"
                # One instance has a wide link, so that there is an owner.
                settings = {
                    "node": f"entry{number}",
                    "zone": "zone-a",
                    "listenAddrs": {"front": address},
                    "platform": {"address": store_address},
                    "cloud": {"address": store_address},
                    "limits": {"linkMbps": link_mbit if number else 1000.0},
                }
                path = Path(folder) / f"{number}.yaml"
                path.write_text(yaml.safe_dump(settings))
                with (Path(folder) / f"{number}.log").open("wb") as log:
                    process = await asyncio.create_subprocess_exec(
                        sys.executable,
                        str(ENTRY_POINT),
                        env={**os.environ, SETTINGS_VARIABLE: str(path)},
                        stdout=log,
                        stderr=log,
                    )
                addresses.append(address)
                processes.append(process)
            yield addresses
        finally:
            for process in processes:
                process.kill()
                await process.wait()


async def _measure_instance(
    session: aiohttp.ClientSession, address: str, started_at: float
) -> list[float]:
    """Return when each of RESULT_NAMES first succeeded, in seconds."""
    headers = {"Host": QUEUE_HOST, "Authorization": f"Bearer {API_KEY}"}
    new_job = f"{random.getrandbits(63):016x}"

    def make_call(
        method: str, path: str, body: object = None
    ) -> Callable[[], Awaitable[int]]:
        async def call() -> int:
            url = f"http://{address}{path}"
            async with session.request(
                method, url, json=body, headers=headers
            ) as response:
                await response.read()
                return response.status

        return call

    calls = (
        (make_call("GET", "/baobablane/ready"), 200),
        (make_call("GET", f"{PATH_PREFIX}{1:016x}"), 200),
        (make_call("GET", f"{PATH_PREFIX}{0:016x}"), 200),
        (make_call("GET", f"{PATH_PREFIX}{'e' * 16}"), 410),
        (
            make_call(
                "POST",
                PATH_PREFIX + new_job,
                {"spec": "10", "steps": [{"cpu": 1000}]},
            ),
            200,
        ),
    )
    return await asyncio.gather(
        *(_await_status(call, status, started_at) for call, status in calls)
    )


async def _await_status(
    call: Callable[[], Awaitable[int]], expected: int, started_at: float
) -> float:
    while time.monotonic() - started_at < TIMEOUT_SECONDS:
        try:
            if await call() == expected:
                return time.monotonic() - started_at
        except aiohttp.ClientError:
            pass
        await asyncio.sleep(POLL_SECONDS)
    return TIMEOUT_SECONDS


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--jobs", type=int, nargs="+", default=[300, 3_000, 30_000])
    parser.add_argument("--fault", choices=("down", "silent"), default="silent")
    parser.add_argument("--mbit", type=float, default=1000.0)
    arguments = parser.parse_args()
    measure_store_return(arguments.jobs, arguments.fault, arguments.mbit)
