"""Let the owner's machine lose power several times, between bursts of small tasks."""

import asyncio
import json
from pathlib import Path

from baobablane_standin.platform import PATH_PREFIX, StandinSettings
from channel_gate import ChannelGate
from review_site import Entry, Record, ReviewSite, has_trouble, run_case

EXECUTORS = 3
# SYSTEM.md: 64 channels for each executor.
CHANNELS = 64
LOSSES = 5
DARK_SECONDS = 3.5
ROUND_SECONDS = 8.0
JOBS_PER_ROUND = 3
SETTLE_SECONDS = 3.5
FINISH_SECONDS = 14.0
IDLE_SECONDS = 3.0
STEP = {"count": 24, "cpu": 1000, "memMb": 256, "estimatedMs": 300}


async def case(record: Record) -> bool:
    """Return whether accepted jobs stand still although the executors are idle."""
    async with ReviewSite(record, StandinSettings(EXECUTORS, 32), 3) as site:
        gates: list[ChannelGate] = []
        for upstream in site.platform.upstreams:
            gate = ChannelGate(upstream.address, CHANNELS)
            await gate.start()
            gates.append(gate)
            upstream.address = gate.address
            site.platform.register_upstream(upstream)
        try:
            return await play(record, site, gates)
        finally:
            for gate in gates:
                await gate.close()


async def play(record: Record, site: ReviewSite, gates: list[ChannelGate]) -> bool:
    """Submit jobs and lose owners; return whether a job stands still at the end."""
    await asyncio.sleep(SETTLE_SECONDS)
    jobs: list[str] = []
    for _ in range(LOSSES):
        began_at = record.now()
        await submit(record, site, jobs)
        await asyncio.sleep(1.5)
        if has_trouble():
            await lose_power(record, site, gates)
        await asyncio.sleep(max(0.0, began_at + ROUND_SECONDS - record.now()))
    await submit(record, site, jobs)
    await asyncio.sleep(FINISH_SECONDS)
    first = running(site)
    until = record.now() + IDLE_SECONDS
    while record.now() < until:
        await asyncio.sleep(0.05)
        first |= running(site)
    standing: list[str] = []
    for job_id in jobs:
        status, answer = await site.call(site.entries[0], "GET", PATH_PREFIX + job_id)
        is_done = status == 200 and answer["state"] == "completed"
        if not is_done and job_id not in first:
            standing.append(job_id)
    record.write(
        "standing-still",
        jobs=standing,
        running=sorted(first),
        dead_channels=[gate.dead_count for gate in gates],
        resets=[gate.reset_count for gate in gates],
    )
    return bool(standing)


def running(site: ReviewSite) -> set[str]:
    """Return the jobs of which a task runs."""
    return {
        task.partition(".")[0]
        for upstream in site.platform.upstreams
        for task in upstream._running
    }


async def submit(record: Record, site: ReviewSite, jobs: list[str]) -> None:
    """Submit some jobs at any instance that answers."""
    for _ in range(JOBS_PER_ROUND):
        job_id = f"{0xC000000000000000 + len(jobs):016x}"
        for entry in site.entries:
            if entry.process is None or entry.process.returncode is not None:
                continue
            body = {"spec": "300", "steps": [STEP]}
            status, _ = await site.call(entry, "POST", PATH_PREFIX + job_id, body)
            if status == 200:
                jobs.append(job_id)
                break
        else:
            raise RuntimeError("no instance accepted a job")


async def lose_power(
    record: Record, site: ReviewSite, gates: list[ChannelGate]
) -> None:
    """Let the machine lose power that last wrote to the store under a condition."""
    _, value = site.platform.store.partition("keyed.progress", 0).newest["owner"]
    name = json.loads(value)["holder"].rpartition("-")[0]
    entry = next(entry for entry in site.entries if entry.name == name)
    for gate in gates:
        gate.lose_peer()
    await entry.end()
    dead = [gate.dead_count for gate in gates]
    record.write("disruption", entry=name, power=False, dead_channels=dead)
    asyncio.get_running_loop().create_task(return_later(record, site, entry))


async def return_later(record: Record, site: ReviewSite, entry: Entry) -> None:
    """Start an instance again after the time without power."""
    await asyncio.sleep(DARK_SECONDS)
    await entry.start(site.platform.address)
    record.write("disruption", entry=entry.name, power=True)


if __name__ == "__main__":
    run_case(case, Path(__file__).resolve().parent)
