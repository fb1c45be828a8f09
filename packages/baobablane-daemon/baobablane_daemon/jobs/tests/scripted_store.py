"""Serve keyed topics from memory, with faults that the tests choose."""

import asyncio
from collections import Counter, defaultdict

from baobablane_platform import (
    KeyedRecord,
    NewestPage,
    RecordPage,
    StoreExpiredError,
    StoreUnknownOutcomeError,
    receive_response,
)
from baobablane_platform._arrival import Arrival

from .scripted_link import ScriptedResponse, at_rate

# As the client of the store.
READ_STALL_SECONDS = 0.9
NEWEST_STALL_SECONDS = 3.0
ARRIVAL_SECONDS = 0.2
ARRIVING_BYTES = 50_000
# Far more than arrives while any test lasts.
ENDLESS_BYTES = 1_000_000
BYTES_PER_TRICKLE_SECOND = 5


def answer_after(seconds):
    """Return a fault by which the store answers after some seconds."""

    async def fault(stall_seconds, on_data):
        await asyncio.sleep(min(seconds, stall_seconds))
        if seconds > stall_seconds:
            raise StoreUnknownOutcomeError("no response")

    return fault


def arrive_for(seconds):
    """Return a fault by which the parts of a response arrive over some seconds."""

    async def fault(stall_seconds, on_data):
        on_data(1)
        await asyncio.sleep(seconds)

    return fault


async def arrive_without_end(stall_seconds, on_data):
    """Send a response that arrives fast enough and is not complete yet."""
    received_bytes = 0
    while True:
        await asyncio.sleep(ARRIVAL_SECONDS)
        received_bytes += ARRIVING_BYTES
        on_data(received_bytes)


async def hang(stall_seconds, on_data):
    """Accept a call and never answer it."""
    await asyncio.sleep(stall_seconds)
    raise StoreUnknownOutcomeError("no response")


async def trickle(stall_seconds, on_data):
    """Send byte after byte of a response that never ends, as the client takes it."""
    response = ScriptedResponse(b"v" * ENDLESS_BYTES, at_rate(BYTES_PER_TRICKLE_SECOND))
    arrival = Arrival()
    try:
        await receive_response(response, 2 * stall_seconds, arrival, on_data)
    except TimeoutError as error:
        raise StoreUnknownOutcomeError(arrival.describe()) from error


def fail_with(error):
    """Return a fault by which each call raises an error."""

    async def fault(stall_seconds, on_data):
        await asyncio.sleep(0.01)
        raise error

    return fault


class ScriptedStore:
    """Hold the records of all topics, and the fault of each."""

    def __init__(self):
        """Start without records; each call takes 10 ms."""
        self.records_by_topic = defaultdict(list)
        self.fault_by_topic = defaultdict(lambda: answer_after(0.01))
        self.append_fault = answer_after(0.01)
        self.first_offset = 0
        self.append_count = 0
        # Reads of records, without those of the newest ones.
        self.read_count_by_topic = Counter()

    def put(self, topic, key, value):
        """Append a record, as another instance does."""
        self.records_by_topic[topic].append(KeyedRecord(key, value))

    def hang_all(self):
        """Answer no call from now on."""
        self.fault_by_topic = defaultdict(lambda: hang)
        self.append_fault = hang

    def recover(self):
        """Answer all calls from now on."""
        self.fault_by_topic = defaultdict(lambda: answer_after(0.01))
        self.append_fault = answer_after(0.01)

    async def read(self, topic, partition, start, wait_ms, on_data):
        """Return the records from an offset on, after the wait if there are none."""
        self.read_count_by_topic[topic] += 1
        await self.fault_by_topic[topic](READ_STALL_SECONDS, on_data)
        if start < self.first_offset:
            raise StoreExpiredError(f"expired from offset {start}")
        records = self.records_by_topic[topic]
        if start == len(records):
            await asyncio.sleep(wait_ms / 1000)
        raw = [
            bytes([len(r.key)]) + r.key.encode() + (r.value or b"")
            for r in records[start:]
        ]
        return RecordPage(len(records), 0, raw)

    async def read_newest(self, topic, partition, after, on_data):
        """Return the newest record of each key on one page."""
        await self.fault_by_topic[topic](NEWEST_STALL_SECONDS, on_data)
        newest = {record.key: record for record in self.records_by_topic[topic]}
        kept = [record for record in newest.values() if record.value is not None]
        return NewestPage(len(self.records_by_topic[topic]), kept, None)

    async def append(self, topic, partition, records, producer, timeout_seconds):
        """Store the records."""
        self.append_count += 1
        await self.append_fault(timeout_seconds, lambda: None)
        self.records_by_topic[topic] += records
