"""Replay appends to a store in trouble, in virtual time."""

import asyncio
import random

import pytest
from baobablane_platform import (
    KeyedRecord,
    StoreError,
    StoreFencedError,
    StoreRejectedError,
    StoreUnknownOutcomeError,
)

from baobablane_daemon.jobs import OWNER_HEARTBEAT_KEY, PROGRESS_TOPIC, JobWriter
from baobablane_daemon.jobs._append_forecast import ONLY_WRITER_AGE_SHARE
from baobablane_daemon.owner._candidacy import HEARTBEAT_TIMEOUT_SECONDS
from baobablane_daemon.owner._fenced_appender import FencedAppender
from baobablane_daemon.owner._progress_writer import ProgressWriter

from ..jobs.tests.virtual_time import run_in_virtual_time
from ..owner.tests.lease_records import make_lease_record
from .store_model import RESPONSE_SECONDS, StoreModel

BEGIN_SECONDS = 2.0
TROUBLE_SECONDS = 4.5
END_SECONDS = BEGIN_SECONDS + TROUBLE_SECONDS
RUN_SECONDS = 12.0
SEEDS = range(40)
SLOWNESS = 60
ENTRY_INSTANCES = 9
JOBS_PER_SECOND = 20


async def run_owner(store, seed):
    """Write progress as an owner does, at each event and after 0.1 s without one."""
    loop = asyncio.get_running_loop()
    chance = random.Random(seed)
    writer = ProgressWriter(
        store, 1, "owner", True, lambda at: None, make_lease_record()
    )
    while loop.time() < RUN_SECONDS:
        values = {f"job-{chance.randrange(50)}": b"v" * 200}
        await writer.write(values if chance.random() < 0.7 else {})
        await asyncio.sleep(chance.uniform(0.0, 0.1))


def heartbeat_gap(store):
    """Return the longest time between two heartbeats that were stored."""
    times = [
        at
        for at, _, records in store.stored
        if any(record.key == OWNER_HEARTBEAT_KEY for record in records)
    ]
    return max(b - a for a, b in zip(times, times[1:], strict=False))


async def submit_jobs(store, seed):
    """Send jobs to entry instances; return when, the seconds and the error of each."""
    loop = asyncio.get_running_loop()
    chance = random.Random(seed)
    writers = [JobWriter(store) for _ in range(ENTRY_INSTANCES)]
    runs = [asyncio.create_task(writer.run()) for writer in writers]
    outcomes = []

    async def submit(number):
        sent_at, error = loop.time(), None
        try:
            await chance.choice(writers).write(KeyedRecord(f"job-{number}", b"v" * 200))
        except StoreError as raised:
            error = raised
        outcomes.append((sent_at, loop.time() - sent_at, error))

    tasks = []
    while loop.time() < RUN_SECONDS:
        tasks.append(asyncio.create_task(submit(len(tasks))))
        await asyncio.sleep(chance.expovariate(JOBS_PER_SECOND))
    await asyncio.gather(*tasks)
    for run in runs:
        run.cancel()
    await asyncio.gather(*runs, return_exceptions=True)
    return outcomes


class TestLostAnswers:
    """Test a store that loses a third of the answers for some seconds."""

    @pytest.mark.parametrize("is_late", [False, True])
    def test_heartbeats_of_the_owner_go_on(self, is_late):
        """Guards against claims although the owner is well."""
        claims = 0
        for seed in SEEDS:
            store = StoreModel(
                BEGIN_SECONDS, END_SECONDS, seed, loss=0.35, is_late=is_late
            )
            run_in_virtual_time(run_owner(store, seed), 0.0)
            claims += heartbeat_gap(store) > HEARTBEAT_TIMEOUT_SECONDS
        # Nine attempts in a row are lost of one append in 12,000, which is one in these
        # 80 troubles of about 30 appends each.
        assert claims <= 1

    @pytest.mark.parametrize("is_late", [False, True])
    def test_most_accepted_jobs_are_known_to_be_stored(self, is_late):
        """Guards against a lost answer that is taken for a slow store."""
        taken, unknown = [], 0
        for seed in SEEDS:
            store = StoreModel(
                BEGIN_SECONDS, END_SECONDS, seed, loss=0.3, is_late=is_late
            )
            for at, seconds, error in run_in_virtual_time(
                submit_jobs(store, seed), 0.0
            ):
                if BEGIN_SECONDS < at < END_SECONDS:
                    taken.append(seconds)
                    unknown += error is not None
        # Three attempts are lost of 2.7% of the appends.
        assert unknown < 0.04 * len(taken)
        assert sorted(taken)[len(taken) * 9 // 10] < 1.1


class TestSlowStore:
    """Test a store that takes 60 times as long for some seconds."""

    def test_repetitions_of_the_owner_do_not_stand_in_its_line(self):
        """Guards against an owner that makes its own line longer."""
        store = StoreModel(BEGIN_SECONDS, END_SECONDS, slowness=SLOWNESS)
        run_in_virtual_time(run_owner(store, 0), 0.0)
        stored = [at for at, _, _ in store.stored if BEGIN_SECONDS < at < END_SECONDS]
        possible = TROUBLE_SECONDS / (SLOWNESS * RESPONSE_SECONDS)
        assert len(stored) >= 0.7 * possible
        assert store.append_count - len(store.stored) <= 2
        assert heartbeat_gap(store) < HEARTBEAT_TIMEOUT_SECONDS


class TestSilentStore:
    """Test a store that answers nothing for some seconds."""

    @pytest.mark.parametrize("seconds", [1.0, 2.0, 3.0, 3.5])
    def test_owner_stores_its_next_record_once_the_store_is_back(self, seconds):
        """Guards against an ownership that ends a second after the trouble."""

        async def run(store, seed):
            loop = asyncio.get_running_loop()
            stored_at = []
            writer = ProgressWriter(
                store,
                1,
                "owner",
                True,
                lambda at: stored_at.append(loop.time()),
                make_lease_record(),
            )
            chance = random.Random(seed)
            while loop.time() < RUN_SECONDS:
                await writer.write({"job": b"%d" % len(stored_at)})
                await asyncio.sleep(chance.uniform(0.0, 0.1))
            return stored_at

        for seed in SEEDS:
            end = BEGIN_SECONDS + seconds
            store = StoreModel(BEGIN_SECONDS, end, seed, loss=1.0)
            stored_at = run_in_virtual_time(run(store, seed), 0.0)
            waited = min(at for at in stored_at if at > end) - end
            # The longest interval of its attempts by then.
            assert waited < max(0.15, ONLY_WRITER_AGE_SHARE * (seconds + 0.5))


class TestSharedAppends:
    """Test what the owner's round and its other tasks write at the same time."""

    def test_what_waits_is_stored_by_one_append(self):
        """Guards against a heartbeat that waits for an append of each of them."""

        async def run(store):
            loop = asyncio.get_running_loop()
            writer = ProgressWriter(
                store, 1, "owner", True, lambda at: None, make_lease_record()
            )
            chance = random.Random(0)
            delays = []

            async def write_often(name, seconds):
                while loop.time() < RUN_SECONDS:
                    began_at = loop.time()
                    await writer.write({name: b"%d" % round(1000 * began_at)})
                    delays.append(loop.time() - began_at)
                    await asyncio.sleep(chance.uniform(0.0, 2 * seconds))

            names = ["job", "load", "order/1", "order/2", "rises"]
            await asyncio.gather(*(write_often(name, 0.2) for name in names))
            return delays

        store = StoreModel(BEGIN_SECONDS, END_SECONDS, slowness=SLOWNESS)
        delays = run_in_virtual_time(run(store), 0.0)
        assert heartbeat_gap(store) < 1.0
        # An append of its own, and the one before it.
        assert max(delays) < 3 * SLOWNESS * RESPONSE_SECONDS
        for name in ["job", "load", "order/1", "order/2", "rises"]:
            values = [
                int(record.value)
                for _, _, records in store.stored
                for record in records
                if record.key == name
            ]
            assert values == sorted(set(values))

    def test_all_writers_learn_of_a_newer_owner(self):
        """Guards against a writer that takes its records for stored."""

        async def run():
            store = StoreModel(0.0, 0.0)
            writer = ProgressWriter(
                store, 1, "owner", True, lambda at: None, make_lease_record()
            )
            claim = FencedAppender(store, PROGRESS_TOPIC, 2, 900)
            await claim.append([KeyedRecord(OWNER_HEARTBEAT_KEY, b"claim")])
            writes = (writer.write({f"job-{n}": b"v"}) for n in range(3))
            return await asyncio.gather(*writes, return_exceptions=True)

        results = run_in_virtual_time(run(), 0.0)
        assert [type(result) for result in results] == 3 * [StoreFencedError]


class BusyStore:
    """Lose the first append, reject those until `free_at`, and store the others."""

    def __init__(self, free_at):
        self.free_at = free_at
        self.append_count = 0

    async def append(self, topic, partition, records, producer, timeout_seconds):
        """Append as far as the trouble lets it."""
        self.append_count += 1
        if self.append_count == 1:
            await asyncio.sleep(timeout_seconds)
            raise StoreUnknownOutcomeError("no response")
        await asyncio.sleep(RESPONSE_SECONDS)
        if asyncio.get_running_loop().time() < self.free_at:
            raise StoreRejectedError("status 503")


class TestBusyStore:
    """Test a store that turns appends away."""

    def test_owner_goes_on_once_it_is_served_again(self):
        """Guards against an owner that waits for an answer that is lost."""

        async def run():
            appender = FencedAppender(BusyStore(1.0), PROGRESS_TOPIC, 1, 5)
            await appender.append([KeyedRecord(OWNER_HEARTBEAT_KEY, b"1")])
            return asyncio.get_running_loop().time()

        assert run_in_virtual_time(run(), 0.0) < HEARTBEAT_TIMEOUT_SECONDS


class TestSupersededOwner:
    """Test an owner whose append is open when another instance claims."""

    @pytest.mark.parametrize("seed", range(8))
    def test_append_after_the_claim_of_another_is_fenced(self, seed):
        """Guards against a start that is recorded by an owner that is one no more."""

        async def run():
            store = StoreModel(0.0, 3.0, seed, loss=0.7, is_late=True)
            appender = FencedAppender(store, PROGRESS_TOPIC, 1, 5)
            await appender.append([KeyedRecord("job", b"1")])
            claim = FencedAppender(store, PROGRESS_TOPIC, 2, 900)
            await claim.append([KeyedRecord(OWNER_HEARTBEAT_KEY, b"claim")])
            claimed = len(store.stored)
            with pytest.raises(StoreFencedError):
                await appender.append([KeyedRecord("job", b"2")])
            # What was sent before and is done late has no effect either.
            await asyncio.sleep(10.0)
            return store.stored[claimed:]

        assert run_in_virtual_time(run(), 0.0) == []

    @pytest.mark.parametrize("seed", range(8))
    def test_late_repetitions_store_nothing_twice(self, seed):
        """Guards against a record that is done again seconds after its repetition."""

        async def run():
            store = StoreModel(0.0, 3.0, seed, loss=0.5, is_late=True)
            appender = FencedAppender(store, PROGRESS_TOPIC, 1, 5)
            for number in range(20):
                await appender.append([KeyedRecord("job", b"%d" % number)])
            await asyncio.sleep(10.0)
            return [records[0].value for _, _, records in store.stored]

        expected = [b"%d" % number for number in range(20)]
        assert run_in_virtual_time(run(), 0.0) == expected
