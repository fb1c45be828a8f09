"""Let the only executor with a label fail two runs, and hand in more for it later."""

import asyncio
import os
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standin.fleet import Fleet, run_case  # noqa: E402

LONG_JOB = "00000000000000d1"
LATER_JOB = "00000000000000d2"
LABEL = "b"
LONG_STEP = {
    "count": 2,
    "cpu": 2_000,
    "memMb": 1_000,
    "estimatedMs": 60_000,
    "requirements": LABEL,
}
LATER_STEP = {**LONG_STEP, "count": 1, "estimatedMs": 1_000}
GREY_SECONDS = 3.0
# LOST: for 3 s nothing runs, and these and the 4 s before them are calm.
CALM_SECONDS = 4.0
LOST_SECONDS = 3.0
OBSERVED_SECONDS = 30.0


async def main() -> int:
    """Return 1 if LOST was broken, 0 if it held, and 2 if the case did not run."""
    path = Path(__file__).with_name("record.txt")
    async with Fleet(path, executors=10, labelled=1) as fleet:
        labelled = fleet.world.executors[0]
        labelled.is_grey = os.environ.get("TROUBLE", "1") != "0"
        fleet.record.write("grey-begins", executor=labelled.id)
        await fleet.submit(LONG_JOB, {"ms": [60_000, 60_000]}, [LONG_STEP])
        await asyncio.sleep(GREY_SECONDS)
        labelled.is_grey = False
        fleet.record.write("grey-ends", executor=labelled.id)

        async def runs_long_job() -> bool:
            return len(labelled.running) == LONG_STEP["count"]

        await fleet.wait_for(runs_long_job, 20.0, "the long tasks don't run")
        await asyncio.sleep(CALM_SECONDS)
        await fleet.submit(LATER_JOB, {"ms": [1_000, 1_000]}, [LATER_STEP])
        accepted_at = fleet.record.now()
        state = ""
        while (
            state != "completed" and fleet.record.now() < accepted_at + OBSERVED_SECONDS
        ):
            await asyncio.sleep(0.25)
            state = await fleet.state(LATER_JOB)
        starts = [
            row["at"]
            for row in fleet.record.of("start")
            if row["task"].startswith(LATER_JOB)
        ]
        ended_at = fleet.record.now()
    waited = (starts[0] if starts else ended_at) - accepted_at
    print(
        f"{LATER_JOB}: accepted at {accepted_at:.1f} s, nothing of it ran for"
        f" {waited:.1f} s, shown as {state}; its executor had 28 of 32 cores free"
    )
    return 1 if waited > LOST_SECONDS else 0


if __name__ == "__main__":
    sys.exit(run_case(main))
