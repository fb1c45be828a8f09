"""Measure how soon a change is in force everywhere, with the log in several states."""

import asyncio
import time
from pathlib import Path
from statistics import median

import aiohttp
from baobablane.config import CONFIG_FOLD, Change, Team, encode_record
from baobablane.log import CheckpointedFold
from baobablane_platform import CONFIG_STREAM, LogClient
from baobablane_standin.free_ports import find_fleet_ports
from baobablane_standin.local_fleet import OPERATOR_TOKEN, LocalFleet

EXAMPLE = Path(__file__).parent.parent / "examples" / "fundacion"
ENTRY_INSTANCE_COUNT = 6
CHANGE_COUNT = 15
POLL_SECONDS = 0.01
TIMEOUT_SECONDS = 20.0
TARGET_SECONDS = 5.0


def measure_rollout() -> None:
    """Print the roll-out times for each state of the log."""
    with LocalFleet(
        entry_count=ENTRY_INSTANCE_COUNT, ports=find_fleet_ports()
    ) as fleet:
        fleet.apply(EXAMPLE)
        for index in range(ENTRY_INSTANCE_COUNT):
            fleet.wait_ready(index)
        for name, switches in (
            ("log healthy", {}),
            ("log delayed by 1 s", {"slow_seconds": 1.0}),
            ("log unreachable for 2 of 6", {"cut_clients": ["entry-0", "entry-1"]}),
            (
                "log unreachable for 5 of 6",
                {"cut_clients": [f"entry-{n}" for n in range(5)]},
            ),
        ):
            fleet.set_switches(fleet.log_url, **switches)
            durations = asyncio.run(_measure_changes(fleet))
            fleet.set_switches(fleet.log_url)
            worst = max(durations)
            verdict = "met" if worst <= TARGET_SECONDS else "MISSED"
            print(
                f"roll-out to {ENTRY_INSTANCE_COUNT} entry instances, {name}: ", end=""
            )
            print(
                f"median {median(durations):.2f} s, "
                f"worst of {CHANGE_COUNT} {worst:.2f} s",
                end="",
            )
            print(f" (target {TARGET_SECONDS:.0f} s: {verdict})")


async def _measure_changes(fleet: LocalFleet) -> list[float]:
    log = LogClient(fleet.log_url, "bench")
    headers = {"Authorization": f"Bearer {OPERATOR_TOKEN}"}
    async with aiohttp.ClientSession(headers=headers) as session:
        try:
            return [
                await _measure_change(fleet, log, session, n)
                for n in range(CHANGE_COUNT)
            ]
        finally:
            await log.close()


async def _measure_change(
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
    while time.monotonic() - started_at < TIMEOUT_SECONDS:
        revisions = await asyncio.gather(
            *(
                _read_revision(fleet, session, index)
                for index in range(ENTRY_INSTANCE_COUNT)
            )
        )
        if min(revisions) >= revision:
            break
        await asyncio.sleep(POLL_SECONDS)
    return time.monotonic() - started_at


async def _read_revision(
    fleet: LocalFleet, session: aiohttp.ClientSession, index: int
) -> int:
    async with session.get(f"{fleet.operators_url(index)}/v1/status") as response:
        report = await response.json()
        return int(report["revision"])
