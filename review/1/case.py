"""Kill the owner while one executor runs more tasks than a report lists ends."""

import asyncio
import os
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standin.checks import find_twice  # noqa: E402
from standin.fleet import Fleet, run_case  # noqa: E402

JOB = "00000000000000a1"
TASKS = 1_400
# 1,400 tasks of 40 thousandths of a core and 60 MB use 28 of 32 cores of two executors.
STEP = {"count": TASKS, "cpu": 40, "memMb": 60, "estimatedMs": 3_600}
# Their ends spread over 1.2 s, so 700 end on each executor before another owner is
# there: the heartbeats of the killed one time out after 1.5 s.
SPEC = {"ms": [3_000, 4_200]}
FINISH_SECONDS = 60.0


async def main() -> int:
    """Return 1 if a task ran twice, 0 if none did, and 2 if the case did not run."""
    path = Path(__file__).with_name("record.txt")
    async with Fleet(path, executors=2, entries=6) as fleet:
        await fleet.submit(JOB, SPEC, [STEP])

        async def has_ended() -> bool:
            return bool(fleet.record.of("end"))

        await fleet.wait_for(has_ended, 20.0, "no task has ended")
        if os.environ.get("TROUBLE", "1") != "0":
            await fleet.last_writer().kill_and_restart()

        async def is_completed() -> bool:
            return await fleet.state(JOB) == "completed"

        await fleet.wait_for(is_completed, FINISH_SECONDS, "not completed")
        await asyncio.sleep(2.0)
        rows = fleet.record.rows
    broken = find_twice(rows)
    for line in broken[:5]:
        print(line)
    print(f"{len(broken)} breaks of TWICE")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(run_case(main))
