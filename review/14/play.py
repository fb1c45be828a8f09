"""Drop the route of a submission whose task fails, and count its runs."""

import asyncio
import sys
from collections.abc import Mapping
from pathlib import Path

from baobablane_standin.platform import API_KEY, StandinUpstream, extra_path_prefix
from site3 import NotRunError, Record, Site, run_case

FOLDER = Path(__file__).resolve().parent
JOB = "00000000000000a1"
TASK = f"{JOB}.0.0.0"
# Of all routes of the stand-in, in each version of the manifest.
MAX_ATTEMPTS = 2
WATCH_SECONDS = 20.0
# `configApplyMs` of dal-portal, and more for the run that is under way.
SETTLED_SECONDS = 5.0


async def play(record: Record, has_trouble: bool) -> str:
    """Return how the rule was broken, or an empty string."""
    async with Site(record, upstreams=3) as site:
        site.platform.write_config(2, [API_KEY], extra_queue_count=1)
        await site.start_entries()
        await asyncio.sleep(1.0)
        noted: set[tuple[str, int]] = set()
        for upstream in site.platform.upstreams:
            watch(upstream, noted)
        body = {"spec": "700 fail", "steps": [{"cpu": 1000, "estimatedMs": 700}]}
        path = extra_path_prefix(0) + JOB
        status, _ = await site.call(site.entries[0], "POST", path, body)
        if status != 200:
            raise NotRunError(f"the submission was answered {status}")
        while not runs(site):
            await asyncio.sleep(0.02)
        if has_trouble:
            site.platform.write_config(3, [API_KEY])
            record.write("manifest 3 drops the route of the submission")
        began_at = record.now()
        late = 0
        while record.now() < began_at + WATCH_SECONDS:
            known = len(runs(site))
            was_noted = len(noted) >= MAX_ATTEMPTS
            await asyncio.sleep(0.02)
            site.end_due_runs()
            if was_noted and len(runs(site)) > known:
                late += 1
        record.write(f"runs: {runs(site)}")
        record.write(f"failed ends that were taken note of: {sorted(noted)}")
        if not has_trouble:
            await site.call(site.entries[0], "GET", path)
        if late:
            return (
                f"BUDGET: {late} starts after {MAX_ATTEMPTS} runs of the task had "
                "ended `failed` and these ends had been taken note of"
            )
        return ""


def watch(upstream: StandinUpstream, noted: set[tuple[str, int]]) -> None:
    """Note which failed ends of an executor are acknowledged."""
    listen = upstream.on_event
    numbers: dict[int, tuple[str, int]] = {}

    def note(event: str, fields: Mapping[str, object]) -> None:
        listen(event, fields)
        if event == "end" and fields["how"] == "failed":
            numbers[int(str(fields["number"]))] = (upstream.id, int(str(fields["run"])))
        elif event == "acknowledged":
            cursor = int(str(fields["number"]))
            noted.update(end for number, end in numbers.items() if number <= cursor)

    upstream.on_event = note


def runs(site: Site) -> list[tuple[str, int]]:
    """Return the executor and number of each run of the task."""
    return [
        (upstream.id, run)
        for upstream in site.platform.upstreams
        for task, run in upstream.starts
        if task == TASK
    ]


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, play))
