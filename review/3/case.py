"""Let an unhealthy executor lose the answer to a start and reject its repetition."""

import os
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from aiohttp import web  # noqa: E402
from standin.checks import find_twice  # noqa: E402
from standin.executor import Executor  # noqa: E402
from standin.fleet import Fleet, run_case  # noqa: E402

JOB = "00000000000000c1"
STEP = {"count": 1, "cpu": 2_000, "memMb": 1_000, "estimatedMs": 3_000}
SPEC = {"ms": [3_000, 3_000]}
UNHEALTHY_SECONDS = 3.0
FINISH_SECONDS = 30.0


class UnhealthyExecutor:
    """Fail the starts of the first executor that gets one, for a while."""

    def __init__(self, fleet: Fleet) -> None:
        """Begin with the first start."""
        self._fleet = fleet
        self._executor: Executor | None = None
        self._until = 0.0

    def answer(
        self, request: web.Request, order: dict, executor: Executor
    ) -> web.StreamResponse | None:
        """Carry the first start out without an answer; reject later ones with 503."""
        if self._executor is None:
            self._executor = executor
            self._until = time.monotonic() + UNHEALTHY_SECONDS
            executor.carry_out_start(order)
            self._fleet.record.write("answer-lost", executor=executor.id)
            if request.transport is not None:
                request.transport.close()
            return web.Response()
        if executor is self._executor and time.monotonic() < self._until:
            self._fleet.record.write("answer-503", executor=executor.id)
            return web.Response(status=503)
        return None


async def main() -> int:
    """Return 1 if a task ran twice, 0 if none did, and 2 if the case did not run."""
    path = Path(__file__).with_name("record.txt")
    async with Fleet(path, executors=10) as fleet:
        if os.environ.get("TROUBLE", "1") != "0":
            unhealthy = UnhealthyExecutor(fleet)
            for executor in fleet.world.executors:
                executor.intercept = unhealthy.answer
        await fleet.submit(JOB, SPEC, [STEP])

        async def is_completed() -> bool:
            return await fleet.state(JOB) == "completed"

        await fleet.wait_for(is_completed, FINISH_SECONDS, "not completed")
        rows = fleet.record.rows
    broken = find_twice(rows)
    for line in broken[:5]:
        print(line)
    print(f"{len(broken)} breaks of TWICE")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(run_case(main))
