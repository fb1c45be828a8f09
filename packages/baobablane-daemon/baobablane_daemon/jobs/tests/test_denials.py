"""Test that a request is denied only by the newest configuration that is stored.

A caller that got 404 or 401 doesn't ask again. While a change reaches one instance
after the other, some of them denied a queue or key by which others had just served.
"""

import asyncio
import json
from contextlib import asynccontextmanager

import pytest
from baobablane_platform import OPERATOR_TOPIC, StoreRejectedError

from baobablane_daemon.jobs import JOBS_TOPIC

from .caller import JOB_ID, REQUEST_BODY, Caller, run_caller
from .operators import KEY, KEYED_PREFIX, PUBLIC_PREFIX, put_configuration
from .scripted_store import (
    ScriptedStore,
    answer_after,
    arrive_for,
    fail_with,
    hang,
    trickle,
)
from .virtual_time import run_in_virtual_time

BOUND_SECONDS = 1.0
# Of a cancellation or a new job that is stored after the decision.
WRITE_BOUND_SECONDS = 2.4
NEW_JOB_ID = "e" * 16
NEW_KEY = "key-2"
NEW_PREFIX = "/renamed/"
# Method and job id of a query, a count, a cancellation, a new job and a repeated one.
REQUESTS = (
    ("GET", JOB_ID),
    ("GET", ""),
    ("DELETE", JOB_ID),
    ("POST", NEW_JOB_ID),
    ("POST", JOB_ID),
)


@asynccontextmanager
async def run_neighbours(first_max_body_bytes=262_144, **change):
    """Run two instances with a job that is accepted, of which one reads a change.

    Before it, bodies are limited to `first_max_body_bytes`. Yield the instance that
    has not read the change, and the one that has.
    """
    behind = Caller(follows_progress=True, reads_configuration=True)
    put_configuration(behind.store, 1, max_body_bytes=first_max_body_bytes)
    store = ScriptedStore()
    store.records_by_topic = behind.store.records_by_topic
    ahead = Caller(follows_progress=True, store=store, reads_configuration=True)
    async with run_caller(behind), run_caller(ahead):
        call = ahead.call("POST", path_prefix=KEYED_PREFIX, key=KEY)
        assert (await call)[0] == 200
        put_configuration(store, 2, **change)
        await ahead.views.operator_tail.catch_up()
        assert ahead.views.configuration.version == 2
        assert behind.views.configuration.version == 1
        yield behind, ahead


class TestChange:
    """Test a change that one of two instances has not read."""

    # Each change with the path and the key by which its callers ask.
    CHANGES = {
        "queue-renamed": ({"keyed_prefix": NEW_PREFIX}, NEW_PREFIX, KEY),
        "last-key-replaced": ({"keys": [NEW_KEY]}, KEYED_PREFIX, NEW_KEY),
        "both": (
            {"keyed_prefix": NEW_PREFIX, "keys": [NEW_KEY]},
            NEW_PREFIX,
            NEW_KEY,
        ),
        "no-key-needed": ({"checks_keys": False}, KEYED_PREFIX, None),
        "queue-below-another": (
            {"keyed_prefix": f"{PUBLIC_PREFIX}below/"},
            f"{PUBLIC_PREFIX}below/",
            KEY,
        ),
    }

    @pytest.mark.parametrize("method, job_id", REQUESTS)
    @pytest.mark.parametrize("name", CHANGES)
    def test_no_instance_denies_what_is_stored(self, name, method, job_id):
        change, path_prefix, key = self.CHANGES[name]

        async def scenario():
            async with run_neighbours(**change) as instances:
                for instance in instances:
                    status, _, seconds = await instance.call(
                        method, job_id=job_id, path_prefix=path_prefix, key=key
                    )
                    assert status == 200
                    assert seconds <= BOUND_SECONDS

        run_in_virtual_time(scenario())

    @pytest.mark.parametrize("method, job_id", REQUESTS)
    def test_dropped_queue_and_key_are_denied_once_they_are_read(self, method, job_id):
        change = {"keyed_prefix": NEW_PREFIX, "keys": [NEW_KEY]}
        expected_by_target = {(KEYED_PREFIX, KEY): 404, (NEW_PREFIX, KEY): 401}

        async def scenario():
            async with run_neighbours(**change) as (behind, ahead):
                # The instance that is behind may still serve by the old version.
                await behind.views.operator_tail.catch_up()
                for (path_prefix, key), expected in expected_by_target.items():
                    for instance in (behind, ahead):
                        status, _, _ = await instance.call(
                            method, job_id=job_id, path_prefix=path_prefix, key=key
                        )
                        assert status == expected

        run_in_virtual_time(scenario())

    def test_one_path_and_key_serves_at_both_at_any_time(self):
        """Guards against a caller who gets a denial for each pair that it knows."""
        change = {"keyed_prefix": NEW_PREFIX, "keys": [NEW_KEY]}

        async def scenario():
            async with run_neighbours(**change) as instances:
                for _ in range(20):
                    for instance in instances:
                        call = instance.call("GET", path_prefix=NEW_PREFIX, key=NEW_KEY)
                        assert (await call)[0] == 200
                    await asyncio.sleep(0.05)

        run_in_virtual_time(scenario())


@asynccontextmanager
async def run_single_instance():
    """Run an instance that has read the only configuration and a job."""
    caller = Caller(follows_progress=True, reads_configuration=True)
    put_configuration(caller.store, 1)
    caller.accept_elsewhere()
    async with run_caller(caller):
        yield caller


class TestUnreadableConfiguration:
    """Test denials while the configuration can't be read."""

    @pytest.mark.parametrize(
        "fault",
        [hang, trickle, answer_after(0.89), fail_with(StoreRejectedError("busy"))],
    )
    @pytest.mark.parametrize("method, job_id", REQUESTS)
    def test_it_denies_nothing_and_says_so_in_time(self, fault, method, job_id):
        """Guards against a denial by a view that is recent, but not the newest."""

        async def scenario():
            async with run_single_instance() as caller:
                caller.store.fault_by_topic[OPERATOR_TOPIC] = fault
                # Longer than the read that was sent before takes.
                await asyncio.sleep(0.5)
                put_configuration(caller.store, 2, [NEW_KEY], NEW_PREFIX)
                stored = caller.store.records_by_topic[JOBS_TOPIC]
                stored_count = len(stored)
                for _ in range(3):
                    status, body, seconds = await caller.call(
                        method, job_id=job_id, path_prefix=NEW_PREFIX, key=NEW_KEY
                    )
                    if status == 200 and method != "GET":
                        assert seconds <= WRITE_BOUND_SECONDS
                        continue
                    assert status == 200 or (status, body["code"]) == (503, 208)
                    assert seconds <= BOUND_SECONDS
                assert status == 200 or len(stored) == stored_count

        run_in_virtual_time(scenario())

    def test_instance_that_is_cut_off_rejects_at_once(self):
        async def scenario():
            async with run_single_instance() as caller:
                caller.store.hang_all()
                await asyncio.sleep(3.0)
                status, body, seconds = await caller.call("GET", path_prefix="/none/")
                assert (status, body["code"], seconds) == (503, 208, 0.0)

        run_in_virtual_time(scenario())


class TestNarrowLink:
    """Test a denial while a configuration that takes long arrives over the link."""

    def test_record_that_arrives_is_not_requested_again(self):
        """Guards against a second read that makes the first take twice as long."""

        async def scenario():
            async with run_single_instance() as caller:
                store, starts = caller.store, []
                store.fault_by_topic[OPERATOR_TOPIC] = arrive_for(0.3)
                # The read that was sent before has ended, and the next one arrives.
                await asyncio.sleep(0.5)
                put_configuration(store, 2, [NEW_KEY], NEW_PREFIX)
                read = store.read

                def note_start(topic, partition, start, wait_ms, on_data):
                    if topic == OPERATOR_TOPIC:
                        starts.append(start)
                    return read(topic, partition, start, wait_ms, on_data)

                store.read = note_start
                call = caller.call("GET", path_prefix=NEW_PREFIX, key=NEW_KEY)
                assert (await call)[0] == 200
                assert starts
                assert set(starts) == {len(store.records_by_topic[OPERATOR_TOPIC])}

        run_in_virtual_time(scenario())


class TestBodyLimit:
    """Test a job whose body is larger than one of two versions allows."""

    LARGE_BODY = REQUEST_BODY + b" " * 100

    @pytest.mark.parametrize("extra_bytes, expected", [(100, 200), (99, 413)])
    def test_newest_limit_counts_at_both_instances(self, extra_bytes, expected):
        limit = len(REQUEST_BODY)
        raised_limit = limit + extra_bytes

        async def scenario():
            neighbours = run_neighbours(limit, max_body_bytes=raised_limit)
            async with neighbours as instances:
                for instance in instances:
                    status, body, seconds = await instance.call(
                        "POST",
                        job_id=NEW_JOB_ID,
                        path_prefix=KEYED_PREFIX,
                        key=KEY,
                        request_body=self.LARGE_BODY,
                    )
                    assert status == expected
                    assert seconds <= BOUND_SECONDS
                    if status == 413:
                        detail = f"the body has more than {raised_limit} bytes"
                        assert body == {"error": detail, "code": 215}

        run_in_virtual_time(scenario())


class TestLog:
    """Test the lines that tell denials apart."""

    def read_reasons(self, caller, event):
        """Return the reasons of the log's lines with an event."""
        caller.log.flush()
        lines = [json.loads(line) for line in caller.output.getvalue().splitlines()]
        return [line["reason"] for line in lines if line["event"] == event]

    def test_both_versions_of_a_denial_that_is_withdrawn_are_named(self):
        async def scenario():
            async with run_neighbours(keyed_prefix=NEW_PREFIX) as (behind, _):
                await behind.call("GET", path_prefix=NEW_PREFIX, key=KEY)
                (reason,) = self.read_reasons(behind, "denial-withdrawn")
                assert reason.endswith(f"{JOB_ID}, version 2 in place of 1")
                assert not self.read_reasons(behind, "request-denied")

        run_in_virtual_time(scenario())

    def test_unread_configuration_is_named(self):
        async def scenario():
            async with run_single_instance() as caller:
                caller.store.fault_by_topic[OPERATOR_TOPIC] = hang
                await caller.call("GET", path_prefix="/none/")
                (reason,) = self.read_reasons(caller, "request-denied")
                assert "version 1, unread: " in reason

        run_in_virtual_time(scenario())


class TestDeniedCallers:
    """Test callers that ask for unknown queues and with unknown keys all the time."""

    CALLS_PER_SECOND = 200
    SECONDS = 5.0
    # A tenth of them, beside the instance's own reads or their repetition after 0.1 s.
    MAX_READS_PER_SECOND = 20

    @pytest.mark.parametrize(
        "fault, statuses",
        [
            (answer_after(0.01), {401, 404}),
            (answer_after(0.2), {401, 404}),
            (fail_with(StoreRejectedError("busy")), {503}),
            (hang, {503}),
            (trickle, {503}),
        ],
    )
    def test_reads_of_the_store_are_bounded(self, fault, statuses):
        async def scenario():
            async with run_single_instance() as caller:
                await asyncio.sleep(1.0)
                caller.store.fault_by_topic[OPERATOR_TOPIC] = fault
                await asyncio.sleep(0.5)
                store = caller.store
                read_count = store.read_count_by_topic[OPERATOR_TOPIC]
                calls = []
                for number in range(round(self.CALLS_PER_SECOND * self.SECONDS)):
                    path_prefix = KEYED_PREFIX if number % 2 else "/none/"
                    call = caller.call("GET", path_prefix=path_prefix, key="unknown")
                    calls.append(asyncio.create_task(call))
                    await asyncio.sleep(1 / self.CALLS_PER_SECOND)
                results = await asyncio.gather(*calls)
                assert {status for status, _, _ in results} == statuses
                assert max(seconds for _, _, seconds in results) <= BOUND_SECONDS
                read_count = store.read_count_by_topic[OPERATOR_TOPIC] - read_count
                assert read_count <= self.MAX_READS_PER_SECOND * (self.SECONDS + 1.0)

        run_in_virtual_time(scenario())
