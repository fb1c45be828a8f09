"""Measure what a process holds of the cancellations of unknown jobs.

Run it with `python -m bench.early_cancellations`; it prints bytes a cancellation.
"""

import asyncio
import io
import tracemalloc

from baobablane.jobs import encode_cancellation
from baobablane_daemon.decision_log import DecisionLog
from baobablane_daemon.jobs import CANCEL_PREFIX, JOBS_TOPIC, Views
from baobablane_daemon.jobs.tests.scripted_store import ScriptedStore
from baobablane_daemon.owner._retention_queue import RetentionQueue

COUNT = 5_000


async def measure() -> float:
    """Return the bytes that an owner holds of each cancellation."""
    store = ScriptedStore()
    for number in range(COUNT):
        key = f"{CANCEL_PREFIX}{number:016x}"
        store.put(JOBS_TOPIC, key, encode_cancellation("ministerio-de-obras"))
    views = Views(store, DecisionLog("entry-0", io.BytesIO()))
    queue = RetentionQueue(120.0)
    tracemalloc.start()
    await views.jobs_tail.catch_up()
    for job_id in views.job_table.early_cancellations.account_by_id:
        queue.add(job_id, float(len(job_id)))
    held, _ = tracemalloc.get_traced_memory()
    return held / COUNT


if __name__ == "__main__":
    print(f"{asyncio.run(measure()):.0f} bytes a cancellation")
