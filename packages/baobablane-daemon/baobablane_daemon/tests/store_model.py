"""Model how the store takes appends: one line for each partition, in virtual time."""

import asyncio
import random

from baobablane_platform import (
    StoreFencedError,
    StoreOffsetMismatchError,
    StoreRejectedError,
    StoreSequenceError,
    StoreUnknownOutcomeError,
)
from baobablane_platform._keyed_record import encode_records
from baobablane_standin.platform._partition import AppendRejectedError, Partition
from baobablane_standin.platform._server import _split_records

# The network and the store's own handling.
RESPONSE_SECONDS = 0.004
# The store rejects an append when more than this is waiting.
MAX_LINE_SECONDS = 2.0


class StoreModel:
    """Take appends, with a trouble from `begin` to `end` of virtual time."""

    def __init__(self, begin, end, seed=0, slowness=1, loss=0.0, is_late=False):
        """Take `slowness` times as long, and lose a share of the answers.

        With `is_late`, appends whose answers are lost are done 1 to 6 s later.
        """
        self._begin, self._end = begin, end
        self._slowness, self._loss, self._is_late = slowness, loss, is_late
        self._random = random.Random(seed)
        self._free_at = {}
        self._partitions = {}
        # Time, topic and records of all appends that changed a partition.
        self.stored = []
        self.append_count = self.rejected_count = 0

    async def append(
        self,
        topic,
        partition,
        records,
        producer=None,
        timeout_seconds=2.5,
        expected_end=None,
    ):
        """Append as the store does; what is sent is done even if nobody waits."""
        loop = asyncio.get_running_loop()
        now = loop.time()
        self.append_count += 1
        in_trouble = self._begin <= now < self._end
        key = (topic, partition)
        free_at = max(now, self._free_at.get(key, 0.0))
        if free_at - now > MAX_LINE_SECONDS:
            self.rejected_count += 1
            await asyncio.sleep(RESPONSE_SECONDS)
            raise StoreRejectedError("the line is too long")
        is_lost = in_trouble and self._random.random() < self._loss
        answer = loop.create_future()

        def execute():
            try:
                response = self._execute(key, records, producer, expected_end)
            except Exception as error:
                if not answer.done() and not is_lost:
                    answer.set_exception(error)
            else:
                if not answer.done() and not is_lost:
                    answer.set_result(response)

        if is_lost and self._is_late:
            loop.call_later(self._random.uniform(1.0, 6.0), execute)
        else:
            seconds = RESPONSE_SECONDS * (self._slowness if in_trouble else 1)
            self._free_at[key] = free_at + seconds
            loop.call_at(free_at + seconds, execute)
        try:
            async with asyncio.timeout(timeout_seconds):
                return await answer
        except TimeoutError as error:
            raise StoreUnknownOutcomeError("no response") from error

    def _execute(self, key, records, producer, expected_end):
        partition = self._partitions.setdefault(key, Partition(True))
        end = partition.end_offset
        new_end = append_to_partition(partition, records, producer, expected_end)
        if partition.end_offset > end:
            now = asyncio.get_running_loop().time()
            self.stored.append((now, key[0], records))
        return new_end


def append_to_partition(partition, records, producer, expected_end):
    """Append as the store does; return the new end, or raise the client's errors."""
    fields = producer and (producer.name, producer.epoch, producer.sequence)
    raw_records = _split_records(encode_records(records))
    try:
        response = partition.append(raw_records, fields, expected_end)
    except AppendRejectedError as error:
        if error.status == 412:
            raise StoreOffsetMismatchError(str(error)) from error
        if error.response["reason"] == "seq":
            raise StoreSequenceError(error.response["sequence"]) from error
        raise StoreFencedError(str(error)) from error
    return response["end"]
