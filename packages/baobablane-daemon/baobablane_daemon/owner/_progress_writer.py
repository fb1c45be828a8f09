"""Append the owner's records, fenced by its epoch."""

import asyncio
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass
from hashlib import blake2b

from baobablane_platform import KeyedRecord, StoreClient

from ..jobs import (
    OWNER_HEARTBEAT_KEY,
    PROGRESS_TOPIC,
    boot_seconds,
    encode_owner_heartbeat,
    unix_ms,
)
from ._fenced_appender import FencedAppender
from ._lease_record import LeaseRecord
from ._state_publisher import StatePublisher
from ._wave_status_publisher import WaveStatusPublisher

# The first sequence numbers of holders are multiples of 2**20, which is more than an
# owner appends in a day. They are below 2**53, up to which every JSON reader keeps
# integers exact.
HOLDER_DIGEST_BYTES = 4
SEQUENCES_PER_HOLDER = 2**20
# Maximum time by which an unresponsive store delays the stop of the process.
LEAVE_TIMEOUT_SECONDS = 0.5
# Others claim after 1.5 s without a heartbeat, so one heartbeat may be lost or late.
HEARTBEAT_INTERVAL_SECONDS = 0.4
# Well below the store's limit for one call, which includes the framing.
MAX_APPEND_BYTES = 1_000_000


def first_sequence(holder: str) -> int:
    """Return the sequence number of a holder's claim.

    The store treats an append with a known epoch and sequence number as a repetition
    and returns the first response, so no two holders may start at the same number.
    """
    digest = blake2b(holder.encode(), digest_size=HOLDER_DIGEST_BYTES).digest()
    return int.from_bytes(digest, "big") * SEQUENCES_PER_HOLDER


@dataclass(slots=True)
class _Write:
    records: list[KeyedRecord]
    is_stored: bool = False

    @property
    def size_bytes(self) -> int:
        return sum(len(record.value or b"") for record in self.records)


class ProgressWriter:
    """Append the owner's records in sequence, one append at a time.

    Load pattern: for some seconds, an append takes 0.24 s, whatever its size. The
    rounds, the load, orders for instances and heartbeats would each wait for one.
    """

    def __init__(
        self,
        store: StoreClient,
        epoch: int,
        holder: str,
        is_large: bool,
        on_stored: Callable[[float], None],
        lease_record: LeaseRecord,
    ) -> None:
        """Write under an epoch whose claim was its first record."""
        self._lease_record = lease_record
        # The end of the ownership is the last heartbeat.
        self._is_leaving = False
        # Of the latest heartbeat; the claim was a heartbeat, too.
        self._number = 0
        self._holder = holder
        self._is_large = is_large
        self._epoch = epoch
        sequence = first_sequence(holder)
        self._progress = FencedAppender(
            store, PROGRESS_TOPIC, epoch, sequence + 1, on_stored
        )
        self.wave_statuses = WaveStatusPublisher(store, epoch)
        self.states = StatePublisher(store, epoch, sequence)
        self._last_heartbeat_at = boot_seconds()
        self._waiting: list[_Write] = []
        self._turn = asyncio.Lock()

    def failing_for(self) -> float:
        """Return for how many seconds all writes have failed; zero if they don't."""
        return self._progress.failing_for()

    async def write(self, values_by_key: Mapping[str, bytes | None]) -> None:
        """Store all records, and retry until stored.

        A key without a value is deleted. Raise StoreFencedError if there is a newer
        owner, or StoreSequenceError if the store expects another sequence number.
        """
        if not values_by_key and not self._is_heartbeat_due():
            return
        # Whoever has its turn first stores what all others wait to write.
        waiting = _Write(
            [KeyedRecord(key, value) for key, value in values_by_key.items()]
        )
        self._waiting.append(waiting)
        async with self._turn:
            while not waiting.is_stored:
                await self._append_waiting()

    async def write_heartbeat(self) -> None:
        """Store a heartbeat if one is due."""
        await self.write({})

    async def announce_leaving(self) -> None:
        """Store the end of the ownership, unless the store is too slow."""
        self._is_leaving = True
        heartbeat = self._make_heartbeat(is_leaving=True)
        try:
            async with asyncio.timeout(LEAVE_TIMEOUT_SECONDS):
                await self._append([heartbeat])
                await self.states.flush()
        except TimeoutError:
            # Others claim about a second later, when the heartbeats time out.
            return

    async def _append_waiting(self) -> None:
        """Append what waits to be written, up to MAX_APPEND_BYTES or one write."""
        writes: list[_Write] = []
        records = self._heartbeat_if_due()
        size_bytes = 0
        for write in self._waiting:
            size_bytes += write.size_bytes
            if writes and size_bytes > MAX_APPEND_BYTES:
                break
            writes.append(write)
            records += write.records
        for batch in _divide(records):
            await self._append(batch)
        del self._waiting[: len(writes)]
        for write in writes:
            write.is_stored = True

    def _heartbeat_if_due(self) -> list[KeyedRecord]:
        if not self._is_heartbeat_due():
            return []
        self._last_heartbeat_at = boot_seconds()
        return [self._make_heartbeat()]

    def _is_heartbeat_due(self) -> bool:
        return not self._is_leaving and (
            boot_seconds() - self._last_heartbeat_at >= HEARTBEAT_INTERVAL_SECONDS
            or self._lease_record.is_outdated()
        )

    def _make_heartbeat(self, is_leaving: bool = False) -> KeyedRecord:
        self._number += 1
        value = encode_owner_heartbeat(
            unix_ms(),
            self._epoch,
            self._holder,
            self._is_large,
            is_leaving,
            self._number,
            self._lease_record.make_bounds(boot_seconds()),
        )
        return KeyedRecord(OWNER_HEARTBEAT_KEY, value)

    async def _append(self, records: list[KeyedRecord]) -> None:
        await self._progress.append(records)
        for record in records:
            if record.key == OWNER_HEARTBEAT_KEY and record.value:
                self._lease_record.note_stored()
                self.states.publish_heartbeat(record.value)


def _divide(records: list[KeyedRecord]) -> Iterator[list[KeyedRecord]]:
    """Yield the records in lists that end once they exceed MAX_APPEND_BYTES."""
    batch: list[KeyedRecord] = []
    size_bytes = 0
    for record in records:
        batch.append(record)
        size_bytes += len(record.value or b"")
        if size_bytes > MAX_APPEND_BYTES:
            yield batch
            batch, size_bytes = [], 0
    if batch:
        yield batch
