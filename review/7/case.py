"""Lose the only executor that one queue may use, and submit to another queue."""

import asyncio
import json
from pathlib import Path

from baobablane_standin.platform import API_KEY, QUEUE_HOST, StandinSettings
from review_site import Record, ReviewSite, has_trouble, run_case

# One of eight executors is lost for good, 0.125 of the service's; the pages name 0.15.
EXECUTORS = 8
ADVISED, PLAIN = "/advised/", "/plain/"
OTHERS = 3
SETTLE_SECONDS = 3.5
# `finish_s`, then the 3 s for which a submission has nothing running.
FINISH_SECONDS = 14.0
IDLE_SECONDS = 3.0
DOWN_FOR_GOOD_SECONDS = 600.0
STEP = {"count": 2, "cpu": 1000, "memMb": 256, "estimatedMs": 400}


def make_route(name: str, path_prefix: str, priority: int, aim_ms: int) -> dict:
    """Return a route of the manifest."""
    return {
        "name": name,
        "host": QUEUE_HOST,
        "pathPrefix": path_prefix,
        "service": "pool-a",
        "priority": priority,
        "maxAttempts": 2,
        "slackFactor": 2.0,
        "targetLatencyMs": aim_ms,
    }


async def case(record: Record) -> bool:
    """Return whether jobs wait although seven executors with room for them are idle."""
    allowed: set[str] = set()

    def advise(step: str, names: list[str]) -> list[str]:
        return [name for name in names if name in allowed]

    settings = StandinSettings(EXECUTORS, 32)
    async with ReviewSite(record, settings, 3, advise) as site:
        advised = make_route("advised", ADVISED, 0, 2500)
        advised["recommendation"] = {
            "decisionMs": 20,
            "periodMs": 2,
            "validityMs": 3000,
        }
        tenant = {"name": "account-a", "apiKeys": [API_KEY], "weight": 1, "cap": {}}
        manifest = {
            "version": 2,
            "routes": [advised, make_route("plain", PLAIN, 1, 600)],
            "services": [{"name": "pool-a"}],
            "tenants": [tenant],
        }
        store = site.platform.store
        store.put("keyed.op", "config", json.dumps(manifest).encode())
        only = site.platform.upstreams[0]
        allowed.add(only.id)
        # All machines have been in touch for `contactMs`, and the manifest is in force.
        await asyncio.sleep(SETTLE_SECONDS)
        if has_trouble():
            only.crash_seconds = DOWN_FOR_GOOD_SECONDS
            only.crash()
            # A crashed executor is silent, and its entry is removed.
            store.put("keyed.servers", only.id, b"")
            record.write("disruption", executor=only.id, lost_for_good=True)
        # The loss is known, and all machines have been in touch since.
        await asyncio.sleep(5.0)
        jobs = [f"{0xB000000000000000 + number:016x}" for number in range(OTHERS + 1)]
        paths = [ADVISED + jobs[0], *(PLAIN + job_id for job_id in jobs[1:])]
        for number, path in enumerate(paths):
            entry = site.entries[number % len(site.entries)]
            body = {"spec": "400", "steps": [STEP]}
            status, _ = await site.call(entry, "POST", path, body)
            if status != 200:
                raise RuntimeError(f"a job was answered with {status}")
            await asyncio.sleep(0.3)
        await asyncio.sleep(FINISH_SECONDS)

        def begun() -> set[str]:
            return {
                task.partition(".")[0]
                for executor in site.platform.upstreams
                for task, _ in executor.starts
            }

        until = record.now() + IDLE_SECONDS
        waiting = set(jobs[1:]) - begun()
        while record.now() < until:
            await asyncio.sleep(0.1)
            waiting -= begun()
        for path in paths:
            await site.call(site.entries[0], "GET", path)
        record.write("never-begun", jobs=sorted(waiting), idle_executors=EXECUTORS - 1)
        # Not judged: without the other queue's job, they begin at once.
        await site.call(site.entries[0], "DELETE", paths[0])
        await asyncio.sleep(2.0)
        record.write("begun-after-cancel", jobs=sorted(begun() & waiting))
        return bool(waiting)


if __name__ == "__main__":
    run_case(case, Path(__file__).resolve().parent)
