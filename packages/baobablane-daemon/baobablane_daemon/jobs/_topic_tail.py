"""Follow one partition of a keyed topic."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import TypeVar

from baobablane_platform import (
    KeyedRecord,
    NewestPage,
    RecordPage,
    StoreClient,
    StoreError,
    StoreExpiredError,
    StoreUnknownOutcomeError,
    decode_record,
)

from ..decision_log import DecisionLog
from ._clock import boot_seconds, loggable_age
from ._repeated_read import read_repeatedly

P = TypeVar("P", RecordPage, NewestPage)

# The store responds to a read that finds no records after this time, which confirms the
# view. A lost connection is detected within this time plus the timeout of the read.
READ_WAIT_MS = 400
READ_RETRY_SECONDS = 0.1
# Longer than a read and its repetition take to fail. A failure from before that says
# nothing about the store now, since the process was stopped in the meantime.
MAX_FAILURE_AGE_SECONDS = 4.5
# With fewer unread records, reading them is cheaper than reading the newest records.
MIN_SKIPPED_RECORDS = 2


class TopicTail:
    """Read a partition continuously, and pass its records to a callback in order.

    At the start, and after unread records have expired, first read the newest record
    of each key. A key that is then missing was deleted by a record that has expired, so
    its deletion is passed. Apart from that, each record is passed once.
    """

    def __init__(
        self,
        store: StoreClient,
        log: DecisionLog,
        topic: str,
        on_record: Callable[[KeyedRecord], None],
        pause_seconds: float = 0.0,
        skips_superseded: bool = False,
        repeats_silent_reads: bool = False,
    ) -> None:
        """Follow partition 0, the only one of an unpartitioned topic.

        A read that found records is followed by a pause of `pause_seconds`, so that
        many small changes take few calls. With `skips_superseded`, if a page leaves
        several records unread, only the newest of each key is read, so that a backlog
        takes no longer than a start. With `repeats_silent_reads`, a read of the newest
        records is repeated beside one that is silent, for a reader that all wait for.
        """
        self._repeats_silent_reads = repeats_silent_reads
        self._skips_superseded = skips_superseded
        self.pause_seconds = pause_seconds
        self._store = store
        self._log = log
        self.topic = topic
        self._on_record = on_record
        self._next_offset: int | None = None
        # The end of the partition in the latest response.
        self._end_offset = 0
        # The read that all share who want to catch up.
        self._shared_read: asyncio.Task[int] | None = None
        self._newest_lock = asyncio.Lock()
        # Progress through the newest records: the last key of the latest page, and the
        # end offset of the first page and when that page was requested.
        self._newest_last_key: str | None = None
        self._newest_end_offset: int | None = None
        self._newest_requested_at = float("-inf")
        # Keys that exist as far as read, and those found among the newest records.
        self._known_keys: set[str] = set()
        self._newest_keys: set[str] = set()
        self._is_reachable = True
        self._failed_reads = 0
        # When the latest read failed; -inf before the first.
        self.failed_at = float("-inf")
        # When a response last ended or arrived fast enough; -inf before the first.
        self._data_at = float("-inf")
        # Set unless a part of a response has arrived whose read has not ended.
        self._has_nothing_arriving = asyncio.Event()
        self._has_nothing_arriving.set()
        # The most that a failed read has received since a read last ended.
        self._wasted_bytes = 0
        # When the latest read was sent that reached the end or returned the newest
        # records; -inf before the first.
        self.confirmed_at = float("-inf")

    @property
    def next_offset(self) -> int | None:
        """Return the offset after the last record read, or None before the first."""
        return self._next_offset

    def skip_to_newest(self) -> None:
        """Read the newest record of each key at the next read."""
        self._next_offset = None

    def age(self) -> float:
        """Return the seconds since the view was last confirmed as complete."""
        return boot_seconds() - self.confirmed_at

    def silence(self) -> float:
        """Return the seconds since the store last sent something of use.

        That is the end of a response, or data that arrive fast enough, unless a failed
        read had received as much: a repeated read begins from the first byte. So the
        silence is less than `age` while a large response arrives, but not while a
        response trickles or stops halfway again and again.
        """
        return boot_seconds() - self._data_at

    def is_lost(self, max_silence_seconds: float) -> bool:
        """Return whether the latest read failed and the silence has lasted longer."""
        failure_age = boot_seconds() - self.failed_at
        return (
            not self._is_reachable
            and failure_age <= MAX_FAILURE_AGE_SECONDS
            and self.silence() > max_silence_seconds
        )

    async def run(self) -> None:
        """Follow the topic until cancelled."""
        try:
            while True:
                await self._follow()
        finally:
            if self._shared_read is not None:
                self._shared_read.cancel()

    async def catch_up(self) -> None:
        """Read everything stored so far, or raise a StoreError."""
        requested_at = boot_seconds()
        # The failure of a read from before the call says nothing about the store now.
        ignores_failure = self._shared_read is not None and not self._shared_read.done()
        while self.confirmed_at < requested_at:
            try:
                await self._read_shared()
            except StoreError:
                if not ignores_failure:
                    raise
            ignores_failure = False

    async def finish_arriving(self) -> None:
        """Wait until a response that has begun to arrive is read or has failed."""
        await self._has_nothing_arriving.wait()

    async def _follow(self) -> None:
        try:
            if self._is_behind():
                count = await self._read_shared()
            else:
                count = await self._read(READ_WAIT_MS)
            if count:
                await asyncio.sleep(self.pause_seconds)
        except StoreError as error:
            self._log_failure(error)
            await asyncio.sleep(READ_RETRY_SECONDS)

    def _is_behind(self) -> bool:
        return self._next_offset is None or self._next_offset < self._end_offset

    async def _read_shared(self) -> int:
        """Wait for the shared read, after starting it if there is none.

        A page takes long over a narrow link, so it is read once for all queries, and
        one that gives up leaves it to the others.
        """
        if self._shared_read is None or self._shared_read.done():
            # Waiting for a finished task would not yield.
            task = asyncio.get_running_loop().create_task(self._read(0))
            task.add_done_callback(_retrieve_exception)
            self._shared_read = task
        return await asyncio.shield(self._shared_read)

    async def _read(self, wait_ms: int) -> int:
        """Read one page and return its number of records, or raise a StoreError."""
        try:
            return await self._read_page(wait_ms)
        except StoreError:
            raise
        except Exception as error:
            # The view gets old, and then rejects what it can't answer.
            self._log.error("read-failed", error, topic=self.topic)
            raise StoreUnknownOutcomeError(f"unexpected error: {error!r}") from error
        finally:
            self._has_nothing_arriving.set()

    async def _read_page(self, wait_ms: int) -> int:
        async with self._newest_lock:
            if self._next_offset is None:
                await self._read_newest()
        start = self._next_offset
        if start is None:
            return 0
        requested_at = boot_seconds()
        try:
            page = await self._receive(
                lambda on_data: self._store.read(self.topic, 0, start, wait_ms, on_data)
            )
        except StoreExpiredError:
            self._log.info("topic-read-anew", topic=self.topic, offset=start)
            self._next_offset = None
            return 0
        self._count_read(requested_at, page.size_bytes)
        self._end_offset = page.end_offset
        for offset, content in enumerate(page.raw_records, start):
            if self._next_offset is not None and offset >= self._next_offset:
                self._next_offset = offset + 1
                self._apply(content)
        if self._next_offset is not None and self._next_offset >= page.end_offset:
            self.confirmed_at = max(self.confirmed_at, requested_at)
        self._skip_superseded(page.end_offset)
        if not self._is_reachable:
            self._log_recovery(requested_at, page.size_bytes)
        return len(page.raw_records)

    async def _read_newest(self) -> None:
        # Only the page that failed is requested again, not those before it: over a
        # low-bandwidth shared link, all of them may take longer than one call.
        while True:
            requested_at = boot_seconds()
            page = await self._receive(self._request_newest)
            self._count_read(requested_at, page.size_bytes)
            self._end_offset = page.end_offset
            if self._newest_end_offset is None:
                # Pages are not one snapshot, so reads continue from the end offset of
                # the first one.
                self._newest_end_offset = page.end_offset
                self._newest_requested_at = requested_at
            for key in page.malformed_keys:
                self._log_skipped(key, "the value is not in base64")
            for record in page.records:
                self._newest_keys.add(record.key)
                self._pass_on(record)
            self._newest_last_key = page.continuation_key
            self._newest_keys.update(page.malformed_keys)
            if page.continuation_key is None:
                break
        for key in self._known_keys - self._newest_keys:
            self._pass_on(KeyedRecord(key, None))
        self._newest_keys = set()
        self._next_offset, self._newest_end_offset = self._newest_end_offset, None
        # Reads from the end offset on may never reach the end, if records are appended
        # faster than they arrive.
        self.confirmed_at = max(self.confirmed_at, self._newest_requested_at)

    async def _request_newest(self, on_data: Callable[[int], None]) -> NewestPage:
        def request() -> Awaitable[NewestPage]:
            return self._store.read_newest(
                self.topic, 0, self._newest_last_key, on_data
            )

        if self._repeats_silent_reads:
            return await read_repeatedly(
                request, lambda: not self._has_nothing_arriving.is_set()
            )
        return await request()

    def _skip_superseded(self, end_offset: int) -> None:
        if not self._skips_superseded or self._next_offset is None:
            return
        unread_count = end_offset - self._next_offset
        if unread_count >= MIN_SKIPPED_RECORDS:
            self._log.info(
                "backlog-skipped",
                topic=self.topic,
                offset=self._next_offset,
                records=unread_count,
            )
            self._next_offset = None

    def _apply(self, content: bytes) -> None:
        try:
            record = decode_record(content)
        except (IndexError, UnicodeError) as error:
            self._log_skipped("", repr(error))
            return
        self._pass_on(record)

    def _pass_on(self, record: KeyedRecord) -> None:
        if record.value is None:
            self._known_keys.discard(record.key)
        else:
            self._known_keys.add(record.key)
        try:
            self._on_record(record)
        except Exception as error:
            # Each process reads the record, so an error must not end any of them.
            self._log_skipped(record.key, repr(error))

    def _log_skipped(self, key: str, reason: str) -> None:
        self._log.info("record-skipped", topic=self.topic, key=key, reason=reason)

    async def _receive(
        self, read: Callable[[Callable[[int], None]], Awaitable[P]]
    ) -> P:
        """Read one page, and note when data of use arrive."""
        most_received = 0

        def note_data(received_bytes: int) -> None:
            nonlocal most_received
            most_received = max(most_received, received_bytes)
            self._has_nothing_arriving.clear()
            if received_bytes > self._wasted_bytes:
                self._data_at = boot_seconds()

        try:
            page = await read(note_data)
        except StoreError:
            self._wasted_bytes = max(self._wasted_bytes, most_received)
            raise
        self._data_at = boot_seconds()
        self._wasted_bytes = 0
        return page

    def _count_read(self, requested_at: float, size_bytes: int) -> None:
        metrics = self._log.metrics
        seconds = boot_seconds() - requested_at
        metrics.store_read_seconds.labels(self.topic).observe(seconds)
        metrics.store_read_bytes.labels(self.topic).inc(size_bytes)

    def _log_failure(self, error: StoreError) -> None:
        self._log.metrics.store_read_failures.labels(self.topic).inc()
        self._failed_reads += 1
        self.failed_at = boot_seconds()
        if self._is_reachable:
            self._is_reachable = False
            self._log.info(
                "store-lost",
                topic=self.topic,
                reason=str(error),
                view_seconds=loggable_age(self.age()),
            )

    def _log_recovery(self, requested_at: float, size_bytes: int) -> None:
        self._is_reachable = True
        self._log.info(
            "store-regained",
            topic=self.topic,
            failed_reads=self._failed_reads,
            read_seconds=round(boot_seconds() - requested_at, 3),
            size_bytes=size_bytes,
        )
        self._failed_reads = 0


def _retrieve_exception(task: "asyncio.Task[int]") -> None:
    if not task.cancelled():
        # If nobody waits any more, asyncio would otherwise log the exception.
        task.exception()
