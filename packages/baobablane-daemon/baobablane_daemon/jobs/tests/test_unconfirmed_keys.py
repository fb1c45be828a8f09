"""Test requests with keys at an instance that can't read the configuration any more.

A request with a key that was withdrawn has to fail from the platform's bound on, also
one that starts nothing, and an instance that can't read doesn't know which keys were.
"""

import asyncio
from contextlib import asynccontextmanager

import pytest
from baobablane.deployment import PlatformLimits
from baobablane_platform import OPERATOR_TOPIC

from baobablane_daemon.jobs import JOBS_TOPIC
from baobablane_daemon.jobs._actions import (
    CONFIGURATION_MARGIN_SECONDS,
    KEY_MARGIN_SECONDS,
)

from .caller import Caller, run_caller
from .operators import KEY, KEYED_PREFIX, PUBLIC_PREFIX, put_configuration
from .scripted_store import answer_after, arrive_without_end
from .virtual_time import run_in_virtual_time

LIMITS = PlatformLimits()
KEY_SECONDS = LIMITS.key_withdrawal_seconds - KEY_MARGIN_SECONDS
CONFIGURATION_SECONDS = LIMITS.configuration_seconds - CONFIGURATION_MARGIN_SECONDS
STEP_SECONDS = 0.05
NEW_JOB = "e" * 16
QUERY_AND_CANCELLATION = ("GET", "DELETE")


@asynccontextmanager
async def run_unconfirmed_instance():
    """Run an instance that knows a job, and reads all but the configuration.

    A large one still arrives, so that the store isn't taken to be unreachable.
    """
    caller = Caller(follows_progress=True, reads_configuration=True)
    put_configuration(caller.store, 1)
    caller.accept_elsewhere()
    async with run_caller(caller):
        caller.store.fault_by_topic[OPERATOR_TOPIC] = arrive_without_end
        # A read that was sent before still succeeds.
        await asyncio.sleep(0.5)
        yield caller


async def wait_for_age(caller, seconds):
    """Let time pass until the view of the configuration has an age."""
    await asyncio.sleep(seconds - caller.views.operator_tail.age())


def call(caller, method, path_prefix=KEYED_PREFIX, key=KEY):
    """Send a request about the known job, or one that submits another job."""
    job_id = {"job_id": NEW_JOB} if method == "POST" else {}
    return caller.call(method, path_prefix=path_prefix, key=key, **job_id)


class TestOldView:
    """Test a view in which a withdrawal may be missing that is due."""

    @pytest.mark.parametrize("method", ["GET", "DELETE", "POST"])
    def test_request_with_a_key_is_rejected(self, method):
        """Guards against a success with a key that was withdrawn long before."""

        async def scenario():
            async with run_unconfirmed_instance() as caller:
                await wait_for_age(caller, KEY_SECONDS + STEP_SECONDS)
                stored_count = len(caller.store.records_by_topic[JOBS_TOPIC])
                status, body, seconds = await call(caller, method)
                assert (status, body["code"]) == (503, 208)
                assert seconds == 0.0
                assert len(caller.store.records_by_topic[JOBS_TOPIC]) == stored_count

        run_in_virtual_time(scenario())

    @pytest.mark.parametrize("method", QUERY_AND_CANCELLATION)
    def test_request_to_a_public_queue_is_answered(self, method):
        """Guards against a rejection for a key that nobody checks."""

        async def scenario():
            async with run_unconfirmed_instance() as caller:
                await wait_for_age(caller, 2 * KEY_SECONDS)
                status, body, _ = await call(caller, method, PUBLIC_PREFIX, None)
                assert (status, body) == (200, {"state": "pending"})

        run_in_virtual_time(scenario())


class TestYoungView:
    """Test a view in which only withdrawals may be missing that are not due."""

    @pytest.mark.parametrize("method", QUERY_AND_CANCELLATION)
    def test_request_with_a_key_is_answered(self, method):
        """Guards against rejections earlier than a withdrawn key demands them."""

        async def scenario():
            async with run_unconfirmed_instance() as caller:
                await wait_for_age(caller, KEY_SECONDS - STEP_SECONDS)
                status, body, _ = await call(caller, method)
                assert (status, body) == (200, {"state": "pending"})

        run_in_virtual_time(scenario())

    @pytest.mark.parametrize(
        "age, expected",
        [
            (CONFIGURATION_SECONDS - STEP_SECONDS, 200),
            (CONFIGURATION_SECONDS + STEP_SECONDS, 503),
        ],
    )
    def test_new_job_depends_on_the_configuration_before_the_key(self, age, expected):
        async def scenario():
            async with run_unconfirmed_instance() as caller:
                await wait_for_age(caller, age)
                assert (await call(caller, "POST"))[0] == expected

        run_in_virtual_time(scenario())


class TestWithdrawnKey:
    """Test a key that is withdrawn while the configuration can't be read."""

    @pytest.mark.parametrize("method", ["GET", "DELETE", "POST"])
    def test_no_request_succeeds_once_the_withdrawal_is_due(self, method):
        async def scenario():
            async with run_unconfirmed_instance() as caller:
                put_configuration(caller.store, 2, keys=["other"])
                loop = asyncio.get_running_loop()
                withdrawn_at, sent_at_by_status = loop.time(), {}
                while loop.time() < withdrawn_at + 2 * LIMITS.key_withdrawal_seconds:
                    sent_at = loop.time()
                    status, _, _ = await call(caller, method)
                    sent_at_by_status.setdefault(status, []).append(sent_at)
                    await asyncio.sleep(STEP_SECONDS)
                assert set(sent_at_by_status) == {200, 503}
                due_at = withdrawn_at + LIMITS.key_withdrawal_seconds
                assert max(sent_at_by_status[200]) < due_at
                caller.store.fault_by_topic[OPERATOR_TOPIC] = answer_after(0.01)
                await caller.views.operator_tail.catch_up()
                assert (await call(caller, method))[0] == 401

        run_in_virtual_time(scenario())
