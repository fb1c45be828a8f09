"""Test reads of which bytes keep arriving.

All instances rejected every query for a job that had not ended, for as long as the
store sent some bytes in each second and no response ended. A link that is merely slow
has to go on, since a repeated read begins from the first byte.
"""

import asyncio
from contextlib import asynccontextmanager

import pytest
from baobablane_platform import StoreUnknownOutcomeError

from baobablane_daemon.decision_log import DecisionLog
from baobablane_daemon.jobs import JOBS_TOPIC, PROGRESS_TOPIC, TopicTail
from baobablane_daemon.jobs._view_limits import MAX_SILENCE_SECONDS

from .caller import put_deployment, run_instance
from .scripted_link import LinkedStore, at_once, at_rate, stall, stop_after
from .virtual_time import run_in_virtual_time

BOUND_SECONDS = 1.0
# When an instance has ceased to be ready, and the balancer has noticed.
DATED_AFTER_SECONDS = 6.0
TRICKLE_SECONDS = 20.0
# Ends no response in that time.
trickle = at_rate(0.5, chunk_seconds=0.5)
PAGE_BYTES = 256 * 1024
# What is left to a page beside other traffic on a link of 5 Mbit/s.
NARROW_LINK_MBIT = 5.0
NARROW_BYTES_PER_SECOND = 87_000


@asynccontextmanager
async def run_linked_instance(follows_progress=True):
    """Run an instance over a scripted link; yield its caller and the store."""
    store = LinkedStore()
    put_deployment(store)
    try:
        async with run_instance(follows_progress, True, store) as caller:
            assert caller.actions.is_ready()
            yield caller, store
    finally:
        await store.close()


@asynccontextmanager
async def follow(store):
    """Follow the topic of jobs; yield the tail and the values read."""
    values = []
    log = DecisionLog("entry-0")
    tail = TopicTail(store, log, JOBS_TOPIC, lambda record: values.append(record.value))
    task = asyncio.create_task(tail.run())
    try:
        yield tail, values
    finally:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        await store.close()


async def longest_silence(tail, is_done):
    """Return the longest silence until a condition holds, after the first data."""
    silences = []
    while not is_done():
        await asyncio.sleep(0.05)
        if tail.silence() < float("inf"):
            silences.append(tail.silence())
    return max(silences)


class TestTricklingStore:
    """Test an instance all of whose reads trickle."""

    PACES = (
        trickle,
        stop_after(8, trickle),
        stop_after(64 * 1024, trickle),
        stop_after(64 * 1024, stall),
    )

    @pytest.mark.parametrize("pace", PACES, ids=["bytes", "begun", "half", "stalled"])
    @pytest.mark.parametrize("follows_progress", [True, False])
    @pytest.mark.parametrize("has_length", [True, False])
    def test_known_state_is_shown_with_its_age(
        self, pace, follows_progress, has_length
    ):
        """Guards against a job without an answer from any instance for long."""

        async def scenario():
            async with run_linked_instance(follows_progress) as (caller, store):
                store.pace, store.has_length = pace, has_length
                for topic in ("keyed.op", JOBS_TOPIC, PROGRESS_TOPIC, "keyed.states"):
                    store.put(topic, "large", b"v" * PAGE_BYTES)
                loop = asyncio.get_running_loop()
                began_at = loop.time()
                while (seconds_since := loop.time() - began_at) < TRICKLE_SECONDS:
                    status, body, seconds = await caller.call("GET")
                    assert seconds <= BOUND_SECONDS
                    if seconds_since >= DATED_AFTER_SECONDS:
                        assert (status, body) == (200, {"state": "pending"})
                        assert caller.shown_age >= seconds_since
                        assert not caller.actions.is_ready()
                    await asyncio.sleep(0.1)

        run_in_virtual_time(scenario())

    def test_unknown_job_is_rejected_at_once(self):
        async def scenario():
            async with run_linked_instance() as (caller, store):
                store.pace = trickle
                await asyncio.sleep(DATED_AFTER_SECONDS)
                status, _, seconds = await caller.call("GET", job_id="f" * 16)
                assert (status, seconds) == (503, 0.0)

        run_in_virtual_time(scenario())

    def test_view_is_confirmed_soon_after_the_store_is_well(self):
        """Guards against a read sent into the trouble that outlasts it."""

        async def scenario():
            async with run_linked_instance() as (caller, store):
                store.pace = trickle
                await asyncio.sleep(TRICKLE_SECONDS)
                store.pace = at_once
                # The read that trickles, and one that doesn't.
                await asyncio.sleep(2.5)
                status, _, _ = await caller.call("GET")
                assert (status, caller.shown_age) == (200, None)
                assert caller.views.jobs_tail.age() < MAX_SILENCE_SECONDS

        run_in_virtual_time(scenario())

    def test_head_that_never_ends_is_given_up(self):
        """Guards against a head of which bytes arrive for hours."""

        async def scenario():
            async with follow(LinkedStore()) as (tail, _):
                await tail.catch_up()
                tail._store.head_seconds = 3600.0
                with pytest.raises(StoreUnknownOutcomeError, match="no response"):
                    async with asyncio.timeout(5.0):
                        await tail.catch_up()

        run_in_virtual_time(scenario())


class TestSlowLink:
    """Test a link that is slow but delivers."""

    def put_jobs(self, store, total_bytes, record_bytes=1000):
        """Store jobs of so many bytes together; return their number."""
        count = total_bytes // record_bytes
        for number in range(count):
            store.put(JOBS_TOPIC, f"job-{number}", bytes([65]) * record_bytes)
        return count

    @pytest.mark.parametrize("has_length", [True, False])
    def test_largest_page_arrives_without_a_silence(self, has_length):
        async def scenario():
            store = LinkedStore(NARROW_LINK_MBIT)
            async with follow(store) as (tail, values):
                await tail.catch_up()
                store.pace = at_rate(NARROW_BYTES_PER_SECOND)
                store.has_length = has_length
                count = self.put_jobs(store, PAGE_BYTES)
                silence = await longest_silence(tail, lambda: len(values) >= count)
                assert silence <= MAX_SILENCE_SECONDS
                assert tail._failed_reads == 0

        run_in_virtual_time(scenario())

    @pytest.mark.parametrize("record_bytes", [1000, 1_000_000])
    def test_largest_newest_page_arrives_without_a_silence(self, record_bytes):
        async def scenario():
            store = LinkedStore(NARROW_LINK_MBIT)
            store.pace = at_rate(NARROW_BYTES_PER_SECOND)
            count = self.put_jobs(store, 1_000_000, record_bytes)
            async with follow(store) as (tail, values):
                silence = await longest_silence(tail, lambda: len(values) >= count)
                assert silence <= MAX_SILENCE_SECONDS
                assert tail._failed_reads == 0

        run_in_virtual_time(scenario())

    def test_link_that_stalls_for_a_moment_is_no_lost_store(self):
        """Guards against a read that is aborted for a retransmission."""

        async def scenario():
            store = LinkedStore(NARROW_LINK_MBIT)

            async def stalling(body):
                for start in range(0, len(body), NARROW_BYTES_PER_SECOND):
                    await asyncio.sleep(0.8)
                    part = body[start : start + NARROW_BYTES_PER_SECOND]
                    async for chunk in at_rate(NARROW_BYTES_PER_SECOND)(part):
                        yield chunk

            async with follow(store) as (tail, values):
                await tail.catch_up()
                store.pace = stalling
                count = self.put_jobs(store, PAGE_BYTES)
                await longest_silence(tail, lambda: len(values) >= count)
                assert tail._failed_reads == 0

        run_in_virtual_time(scenario())

    def test_narrower_link_needs_a_part_of_its_own_bandwidth(self):
        """Guards against a link that could never bring one page."""

        async def scenario():
            store = LinkedStore(link_mbit=0.5)
            async with follow(store) as (tail, values):
                await tail.catch_up()
                store.pace = at_rate(0.5e6 / 8 / 10)
                count = self.put_jobs(store, PAGE_BYTES)
                await longest_silence(tail, lambda: len(values) >= count)
                assert tail._failed_reads == 0

        run_in_virtual_time(scenario())
