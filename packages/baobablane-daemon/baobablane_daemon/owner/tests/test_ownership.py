"""Test which instance becomes the owner when several claim the ownership."""

import asyncio
from contextlib import asynccontextmanager

import pytest
from baobablane_platform import StoreClient
from baobablane_standin.platform import PlatformStandin

from baobablane_daemon.decision_log import DecisionLog
from baobablane_daemon.jobs import Views, boot_seconds, make_holder
from baobablane_daemon.owner import Candidacy, Ownership
from baobablane_daemon.owner._progress_writer import first_sequence

TEST_TIMEOUT_SECONDS = 30.0


@asynccontextmanager
async def make_ownerships(count, is_running=False):
    """Yield ownerships that would all claim at the same time.

    They claim on their own only if `is_running`.
    """
    async with PlatformStandin() as platform:
        store = StoreClient(platform.address)
        tasks, ownerships = [], []
        for number in range(count):
            log = DecisionLog(f"entry-{number}")
            views = Views(store, log)
            await views.catch_up()

            def get_heartbeat(views=views):
                return views.owner_heartbeat

            # The name determines the delay of a claim, so all candidacies have the same
            # name.
            now = boot_seconds() - 1.0
            age = views.progress_tail.age
            candidacy = Candidacy("entry-0", True, get_heartbeat, age, now)
            name = make_holder(f"instance{number}", 1)
            ownership = Ownership(store, views, log, name, True, candidacy)
            ownerships.append(ownership)
            tasks += [views.run(), ownership.run()] if is_running else []
        running = [asyncio.create_task(task) for task in tasks]
        try:
            yield ownerships
        finally:
            for task in running:
                task.cancel()
            await asyncio.gather(*running, return_exceptions=True)
            await store.close()


async def wait_for(condition):
    """Wait until a condition holds, or raise TimeoutError."""
    async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
        while not condition():
            await asyncio.sleep(0.01)


class TestClaims:
    """Test concurrent claims."""

    @pytest.mark.parametrize("count", [2, 5])
    async def test_one_of_many_claims_succeeds(self, count):
        async with make_ownerships(count) as ownerships:
            now = boot_seconds()
            await asyncio.gather(*(o._claim(now) for o in ownerships))
            epochs = [o.epoch for o in ownerships if o.epoch is not None]
            assert epochs == [1]

    async def test_next_claim_has_the_next_epoch(self):
        async with make_ownerships(2, is_running=True) as ownerships:
            await wait_for(lambda: any(o.epoch for o in ownerships))
            (first,) = [o for o in ownerships if o.epoch]
            (second,) = [o for o in ownerships if not o.epoch]
            first.end("ended by the test")
            await wait_for(lambda: first.epoch or second.epoch)
            assert {first.epoch, second.epoch} == {None, 2}


class TestFirstSequence:
    """Test the sequence numbers of claims.

    The store would treat a second claim with the same epoch and sequence number as a
    repetition, so two claims would succeed.
    """

    def test_first_sequences_of_holders_are_far_apart(self):
        numbers = sorted(first_sequence(f"entry-{n}") for n in range(50))
        gaps = [b - a for a, b in zip(numbers, numbers[1:], strict=False)]
        assert min(gaps) >= 2**20
        assert numbers[-1] < 2**53
