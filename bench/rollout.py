"""Measure how soon a change is in force everywhere, with the log in several states."""

import asyncio
import time
from pathlib import Path
from statistics import median

import aiohttp
from baobablane.config import (
    CONFIG_FOLD,
    Change,
    Team,
    encode_record,
)
from baobablane.log import CheckpointedFold
from baobablane_platform import CONFIG_STREAM, LogClient
from baobablane_standin.free_ports import find_fleet_ports
from baobablane_standin.local_fleet import OPERATOR_TOKEN, LocalFleet

EXAMPLE = Path(__file__).parent.parent / "examples" / "fundacion"
ENTRIES = 6
CHANGES = 15
POLL_SECONDS = 0.01
GIVE_UP_SECONDS = 20.0
TARGET_SECONDS = 5.0


def measure_rollout() -> None:
    """Print roll-out times for each state of the log."""
    with LocalFleet(entry_count=ENTRIES, ports=find_fleet_ports()) as fleet:
        fleet.apply(EXAMPLE)
        for index in range(ENTRIES):
            fleet.wait_ready(index)
        for name, switches in (
            ("log healthy", {}),
            ("log slow by 1 s", {"slow_seconds": 1.0}),
            ("log unreadable for 2 of 6", {"cut_clients": ["entry-0", "entry-1"]}),
            (
                "log unreadable for 5 of 6",
                {"cut_clients": [f"entry-{n}" for n in range(5)]},
            ),
        ):
            fleet.set_switches(fleet.log_url, **switches)
            times = asyncio.run(_roll_out(fleet))
            fleet.set_switches(fleet.log_url)
            worst = max(times)
            verdict = "met" if worst <= TARGET_SECONDS else "MISSED"
            print(f"roll-out to {ENTRIES} entry instances, {name}: ", end="")
            print(
                f"median {median(times):.2f} s, worst of {CHANGES} {worst:.2f} s",
                end="",
            )
            print(f" (target {TARGET_SECONDS:.0f} s: {verdict})")


async def _roll_out(fleet: LocalFleet) -> list[float]:
    log = LogClient(fleet.log_url, "bench")
    headers = {"Authorization": f"Bearer {OPERATOR_TOKEN}"}
    async with aiohttp.ClientSession(headers=headers) as session:
        try:
            return [await _one_change(fleet, log, session, n) for n in range(CHANGES)]
        finally:
            await log.close()


async def _one_change(
    fleet: LocalFleet, log: LogClient, session: aiohttp.ClientSession, number: int
) -> float:
    fold = CheckpointedFold(CONFIG_FOLD)
    page = await log.read(CONFIG_STREAM, 0, 0.0)
    fold.feed(page.records)
    team = Team("rocha", 1.0, 16 + number % 3)
    expects = {"team/rocha": fold.state.revision_of("team/rocha")}
    change = Change(f"bench-{time.time_ns()}", "bench", expects, (team,))
    started_at = time.monotonic()
    await log.append(CONFIG_STREAM, [encode_record(change)])
    revision = page.next_offset
    while time.monotonic() - started_at < GIVE_UP_SECONDS:
        held = await asyncio.gather(
            *(_revision(fleet, session, index) for index in range(ENTRIES))
        )
        if min(held) >= revision:
            break
        await asyncio.sleep(POLL_SECONDS)
    return time.monotonic() - started_at


async def _revision(
    fleet: LocalFleet, session: aiohttp.ClientSession, index: int
) -> int:
    async with session.get(f"{fleet.operators_url(index)}/v1/status") as response:
        report = await response.json()
        return int(report["revision"])
