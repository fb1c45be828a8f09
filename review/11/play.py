"""Leave two starts of tasks that may run twice unanswered, then send more work."""

import asyncio
import sys
from pathlib import Path

from baobablane_standin.platform import PATH_PREFIX
from order_proxy import OrderProxy
from site3 import NotRunError, Record, Site, run_case

FOLDER = Path(__file__).resolve().parent
# The label of the one executor that can run these tasks; its own rack.
LABEL = "rack-u0"
# An order without an answer may be carried out 2 to 12 s later.
LATE_SECONDS = 4.0
OTHERS, DISTURBED, LATER = "00000000000000c", "00000000000000d", "00000000000000a1"
# Tasks of the two disturbed submissions, each of one core of the executor's eight.
DISTURBED_COUNTS = (4, 2)
# Tasks of other submissions, so that few of the orders are left unanswered.
OTHER_COUNT = 60
# Two of these fit on the executor.
NEEDS = {"cpu": 3000, "memMb": 256, "requirements": LABEL}
# The bound `finish_s` of dal-portal, and the time for which nothing may run.
FINISH_SECONDS = 14.0
TURN_SECONDS = 3.0


async def submit(site: Site, job: str, milliseconds: int, **step: object) -> None:
    """Hand a submission of one step in."""
    body = {
        "spec": str(milliseconds),
        "steps": [{"estimatedMs": milliseconds, **step}],
    }
    status, _ = await site.call(site.entries[0], "POST", PATH_PREFIX + job, body)
    if status != 200:
        raise NotRunError(f"the submission {job} was answered {status}")


async def wait_for_end(site: Site, job: str, seconds: float) -> str:
    """Return the state of a submission once it is completed or the time is over."""
    until = site.record.now() + seconds
    state = ""
    while site.record.now() < until and state != "completed":
        await asyncio.sleep(0.5)
        site.end_due_runs()
        _, answer = await site.call(site.entries[0], "GET", PATH_PREFIX + job)
        state = answer.get("state", "")
    return state


async def play(record: Record, has_trouble: bool) -> str:
    """Return how the rule was broken, or an empty string."""
    async with Site(record, upstreams=3) as site:
        special = site.platform.upstreams[0]
        proxy = OrderProxy(special.address, record.write)
        await proxy.start()
        try:
            special.address = proxy.address
            site.platform.register_upstream(special)
            await site.start_entries()
            return await play_at(site, proxy, has_trouble)
        finally:
            await proxy.close()


async def play_at(site: Site, proxy: OrderProxy, has_trouble: bool) -> str:
    """Play the trouble at the one executor that has the label."""
    record = site.record
    special = site.platform.upstreams[0]

    def find_delay(path: str, body: dict[str, object]) -> float | None:
        is_chosen = str(body.get("task", "")).startswith(DISTURBED)
        if has_trouble and is_chosen and path.endswith("run-start"):
            return LATE_SECONDS if body["run"] == 1 else None
        return None

    proxy.find_delay = find_delay
    for number, count in enumerate(DISTURBED_COUNTS):
        others, disturbed = f"{OTHERS}{number}", f"{DISTURBED}{number}"
        await submit(site, others, 300, count=OTHER_COUNT, cpu=200, memMb=16)
        await asyncio.sleep(0.3)
        step = {"cpu": 1000, "memMb": 256, "requirements": LABEL}
        await submit(site, disturbed, 500, count=count, speculative=True, **step)
        state = await wait_for_end(site, disturbed, 20.0)
        record.write(f"the submission {disturbed} is {state}")
    starts = sum(len(u.starts) for u in site.platform.upstreams)
    late = proxy.unanswered_count
    record.write(f"{late} of {late + starts} starts were left unanswered")
    # The trouble and what follows from it are over: the late orders and contactMs.
    await asyncio.sleep(8.0)
    await submit(site, LATER, 500, count=1, **NEEDS)
    state = await wait_for_end(site, LATER, 2 * FINISH_SECONDS)
    ran = [run for run in special.starts if run[0].startswith(LATER)]
    record.write(f"starts of the later submission: {ran}; it is {state}")
    if state != "completed" and not ran:
        return (
            "LOST: a submission with room for it twice has had nothing running for "
            f"{2 * FINISH_SECONDS:.0f} s ({TURN_SECONDS:.0f} s are allowed)"
        )
    return ""


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, play))
