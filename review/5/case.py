"""Let an idle executor fall silent and return under its id before it is missed."""

import asyncio
import os
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standin.checks import find_twice  # noqa: E402
from standin.fleet import CaseError, Fleet  # noqa: E402

STEP = {"count": 16, "cpu": 2_000, "memMb": 1_000, "estimatedMs": 100}
SPEC = {"ms": [100, 100]}
SILENT_SECONDS = 0.5
FINISH_SECONDS = 30.0
# A task that is run again is started by then.
OBSERVED_SECONDS = 4.0


async def main() -> int:
    """Return 1 if a task ran twice, 0 if none did, and 2 if the case did not run."""
    path = Path(__file__).with_name("record.txt")
    try:
        async with Fleet(path, executors=8) as fleet:

            async def run_job(job: str) -> None:
                await fleet.submit(job, SPEC, [STEP])

                async def is_completed() -> bool:
                    return await fleet.state(job) == "completed"

                await fleet.wait_for(is_completed, FINISH_SECONDS, "not completed")

            await run_job("00000000000000e1")
            ended = fleet.record.of("end")
            name = max(row["executor"] for row in ended)
            executor = next(e for e in fleet.world.executors if e.id == name)
            await asyncio.sleep(1.0)
            await fleet.wait_for_beat()
            if os.environ.get("TROUBLE", "1") != "0":
                executor.fall_silent()
                await asyncio.sleep(SILENT_SECONDS)
                executor.return_under_same_id()
            await run_job("00000000000000e2")
            await asyncio.sleep(OBSERVED_SECONDS)
            rows = fleet.record.rows
    except CaseError as error:
        print(f"the case did not run: {error}")
        return 2
    broken = find_twice(rows)
    for line in broken[:5]:
        print(line)
    print(f"{len(broken)} breaks of TWICE")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
