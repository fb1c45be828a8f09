"""Register what other entry instances have to know of this one.

The records are kept by the store, so that instances that start later know them.
"""

import asyncio

from baobablane_platform import KeyedRecord, StoreError

from ..decision_log import DecisionLog
from ._job_writer import JobWriter
from ._owner_heartbeat import holder_instance
from ._peer import Peer, encode_peer
from ._view_limits import MAX_SILENCE_SECONDS
from ._views import PEER_PREFIX, STATE_READER_PREFIX, Views

RETRY_SECONDS = 0.3


async def register_state_reader(
    instance: str, views: Views, job_writer: JobWriter, log: DecisionLog
) -> None:
    """Ask the owner to publish the states of jobs, if this instance follows them."""
    if not views.follows_progress:
        record = KeyedRecord(STATE_READER_PREFIX + instance, b"1")
        await _store(record, views, job_writer, log)


async def register_peer(
    holder: str, address: str, views: Views, job_writer: JobWriter, log: DecisionLog
) -> None:
    """Tell other instances where to watch this process while it is the owner.

    `holder` is its unique name. It follows that its predecessors have ended.
    """
    heartbeat = views.owner_heartbeat
    peer = Peer(address, holder, heartbeat.epoch if heartbeat else 0)
    record = KeyedRecord(PEER_PREFIX + holder_instance(holder), encode_peer(peer))
    await _store(record, views, job_writer, log)


async def unregister_peer(
    instance: str, views: Views, job_writer: JobWriter, log: DecisionLog
) -> None:
    """Tell other instances that this one stops, so that it is no successor."""
    record = KeyedRecord(PEER_PREFIX + instance, None)
    await _store(record, views, job_writer, log)


async def _store(
    record: KeyedRecord, views: Views, job_writer: JobWriter, log: DecisionLog
) -> None:
    while True:
        # An append that is sent while the store is away is without a response for
        # seconds after its return, and jobs are rejected for as long.
        while views.jobs_tail.silence() > MAX_SILENCE_SECONDS:
            await asyncio.sleep(RETRY_SECONDS)
        try:
            await job_writer.write(record)
            return
        except StoreError as error:
            log.info("instance-unregistered", key=record.key, reason=str(error))
            await asyncio.sleep(RETRY_SECONDS)
