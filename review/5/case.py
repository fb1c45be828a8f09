"""Let an idle executor fall silent and return under its id before it is missed."""

import asyncio
import os
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standin.checks import find_twice  # noqa: E402
from standin.fleet import Fleet, run_case  # noqa: E402

# Its tasks fill eight executors of 32 cores.
STEP = {"count": 128, "cpu": 2_000, "memMb": 1_000, "estimatedMs": 100}
SPEC = {"ms": [100, 100]}
SILENT_SECONDS = 0.5
# A call to an idle executor lasts for 2 s, and times out after 2.5 s.
MIN_CALL_AGE_SECONDS, MAX_CALL_AGE_SECONDS = 0.9, 1.2
FINISH_SECONDS = 30.0
# A task that is run again is started by then.
OBSERVED_SECONDS = 4.0


async def main() -> int:
    """Return 1 if a task ran twice, 0 if none did, and 2 if the case did not run."""
    path = Path(__file__).with_name("record.txt")
    async with Fleet(path, executors=8) as fleet:

        async def run_job(job: str) -> None:
            await fleet.submit(job, SPEC, [STEP])

            async def is_completed() -> bool:
                return await fleet.state(job) == "completed"

            await fleet.wait_for(is_completed, FINISH_SECONDS, "not completed")

        await run_job("00000000000000e1")
        executor = fleet.world.executors[0]
        await asyncio.sleep(1.0)

        async def is_called_for_a_while() -> bool:
            age = time.monotonic() - executor.held_at
            return MIN_CALL_AGE_SECONDS <= age <= MAX_CALL_AGE_SECONDS

        # The open call times out 1.3 to 1.6 s after the executor has fallen silent. By
        # then, the tasks of the next submission have run on its new life, which enters
        # itself in the store at its first beat, 2.0 s after that.
        await fleet.wait_for(is_called_for_a_while, 10.0, "no call to hold")
        if os.environ.get("TROUBLE", "1") != "0":
            executor.fall_silent()
            await asyncio.sleep(SILENT_SECONDS)
            executor.return_under_same_id()
        await run_job("00000000000000e2")
        await asyncio.sleep(OBSERVED_SECONDS)
        rows = fleet.record.rows
    broken = find_twice(rows)
    for line in broken[:5]:
        print(line)
    print(f"{len(broken)} breaks of TWICE")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(run_case(main))
