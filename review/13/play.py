"""Kill an entry instance while the store has its append, and cancel the submission."""

import asyncio
import signal
import sys
from pathlib import Path

from baobablane_standin.platform import PATH_PREFIX
from site3 import NotRunError, Record, Site, run_case
from store_proxy import StoreProxy

FOLDER = Path(__file__).resolve().parent
JOB = "00000000000000a1"
# A call without a response may be executed seconds later; late writes of dal-portal are
# done 1 to 6 s later.
LATE_SECONDS = 5.5
# The bound `cancel_ms` of dal-portal.
CANCEL_SECONDS = 3.0
# Runs for so long that it is seen whether it is stopped.
BODY = {
    "spec": "2000",
    "steps": [{"count": 2, "cpu": 1000, "memMb": 256, "estimatedMs": 2000}],
}


async def play(record: Record, has_trouble: bool) -> str:
    """Return how the rule was broken, or an empty string."""
    async with Site(record, upstreams=3) as site:
        proxy = StoreProxy(site.platform.address, record.write)
        await proxy.start()
        try:
            # The first entry instance reaches the store by the proxy.
            site.store_by_entry["entry-0"] = proxy.address
            await site.start_entries()
            return await play_at(site, proxy, has_trouble)
        finally:
            await proxy.close()


async def play_at(site: Site, proxy: StoreProxy, has_trouble: bool) -> str:
    """Send the submission to the instance that is killed, and cancel it elsewhere."""
    record = site.record
    await asyncio.sleep(1.0)
    first, other = site.entries[0], site.entries[1]
    path = PATH_PREFIX + JOB
    if has_trouble:
        proxy.late_seconds = LATE_SECONDS
        proxy.chosen = JOB.encode()
        sending = asyncio.ensure_future(site.call(first, "POST", path, BODY))
        async with asyncio.timeout(5.0):
            await proxy.has_arrived.wait()
        first.send(signal.SIGKILL)
        record.write(f"{first.name} was killed")
        await sending
        # It is started again after a short delay.
        await asyncio.sleep(0.5)
        await first.start()
    else:
        await site.call(first, "POST", path, BODY)
    status, _ = await site.call(other, "DELETE", path)
    if status not in (200, 410):
        raise NotRunError(f"the cancellation was answered {status}")
    cancelled_at = record.now()
    known = len(find_starts(site))
    late = 0
    while record.now() < cancelled_at + LATE_SECONDS + 6.0:
        await asyncio.sleep(0.05)
        site.end_due_runs()
        count = len(find_starts(site))
        if count > known:
            seconds = record.now() - cancelled_at
            record.write(f"{count} starts, {seconds:.2f} s after the answer")
            late += count - known if seconds > CANCEL_SECONDS else 0
            known = count
    await site.call(other, "GET", path)
    if has_trouble and not proxy.was_carried_out:
        raise NotRunError("the append was not carried out late")
    if late:
        return (
            f"UNASKED: {late} tasks started more than {CANCEL_SECONDS:.0f} s "
            f"after the cancelling was answered {status}"
        )
    return ""


def find_starts(site: Site) -> list[tuple[str, int]]:
    """Return the task and number of each run that an executor has started."""
    return [start for upstream in site.platform.upstreams for start in upstream.starts]


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, play))
