"""Replay how the ownership passes on while owners are lost, in virtual time."""

import asyncio
import random

import pytest

from baobablane_daemon.jobs import boot_seconds

from ...jobs.tests.virtual_time import run_in_virtual_time
from .hand_over_model import Access, Deployment

COUNT = 9
CALM_SECONDS = 5.0
RESTART_SECONDS = 1.1
TROUBLE_SECONDS = 4.5
# The stated targets: how long nobody owns.
KNOWN_SECONDS = 0.5
SILENT_SECONDS = 0.8


async def begin():
    """Start a deployment and wait until somebody has owned for some time."""
    deployment = Deployment(COUNT)
    for instance in deployment.by_name.values():
        instance.start()
    await asyncio.sleep(CALM_SECONDS)
    return deployment


async def lose_owner(trouble):
    """Bring trouble to the owner; return for how long nobody owned, and the owners."""
    deployment = await begin()
    owner = deployment.owner()
    lost_at = boot_seconds()
    if trouble == "killed":
        owner.kill()
        await asyncio.sleep(RESTART_SECONDS)
        owner.start()
    else:
        owner.link.set(trouble)
    await asyncio.sleep(TROUBLE_SECONDS)
    if trouble != "killed":
        owner.link.set(Access.WELL)
    await asyncio.sleep(CALM_SECONDS)
    return [(at - lost_at, name) for at, name, _ in deployment.owners]


class TestLostOwner:
    """Test one trouble of the owner."""

    @pytest.mark.parametrize(
        ("trouble", "seconds"),
        [
            ("killed", KNOWN_SECONDS),
            (Access.REJECTED, KNOWN_SECONDS),
            (Access.CUT, SILENT_SECONDS),
            (Access.FROZEN, SILENT_SECONDS),
        ],
    )
    def test_somebody_else_owns_soon(self, trouble, seconds):
        """Guards against 1.5 s in which nothing is placed, in the peak of a burst."""
        (_, first), (gap, second), *others = run_in_virtual_time(lose_owner(trouble))
        assert second != first
        assert 0.0 < gap <= seconds
        # Nobody else takes the ownership from the successor.
        assert not others


class TestCalm:
    """Test a deployment without trouble."""

    def test_nobody_else_claims(self):
        """Guards against a change of owner that nothing made necessary."""

        async def play():
            deployment = await begin()
            await asyncio.sleep(120.0)
            return deployment.owners

        assert len(run_in_virtual_time(play())) == 1

    @pytest.mark.parametrize("access", [Access.REJECTED, Access.CUT])
    def test_store_in_trouble_for_all_changes_no_owner(self, access):
        """Guards against a change of owner that can't end the trouble."""

        async def play():
            deployment = await begin()
            for instance in deployment.by_name.values():
                instance.link.set(access)
            await asyncio.sleep(3.0)
            for instance in deployment.by_name.values():
                instance.link.set(Access.WELL)
            await asyncio.sleep(CALM_SECONDS)
            return deployment.owners

        assert len(run_in_virtual_time(play())) == 1


class TestOverlappingTroubles:
    """Test troubles of several instances at once, successors among them."""

    @pytest.mark.parametrize("seed", range(20))
    def test_one_owner_at_a_time_and_one_in_the_end(self, seed):
        """Guards against records of an earlier owner, and against none that owns."""
        chance = random.Random(seed)

        async def disturb(instance):
            for _ in range(4):
                await asyncio.sleep(chance.uniform(0.0, 4.0))
                trouble = chance.choice(
                    [Access.REJECTED, Access.CUT, Access.FROZEN, "killed"]
                )
                if trouble == "killed":
                    instance.kill()
                    await asyncio.sleep(RESTART_SECONDS)
                    instance.start()
                else:
                    instance.link.set(trouble)
                    await asyncio.sleep(chance.uniform(0.1, 4.0))
                    instance.link.set(Access.WELL)

        async def play():
            deployment = await begin()
            chosen = chance.sample(sorted(deployment.by_name), 5)
            await asyncio.gather(*(disturb(deployment.by_name[n]) for n in chosen))
            await asyncio.sleep(CALM_SECONDS)
            return deployment

        async def check():
            deployment = await play()
            epochs = deployment.recorded_epochs()
            assert epochs == sorted(epochs)
            owners = [
                instance.ownership.epoch
                for instance in deployment.by_name.values()
                if instance.ownership.epoch is not None
            ]
            assert owners == [epochs[-1]]
            assert len({epoch for _, _, epoch in deployment.owners}) == len(
                deployment.owners
            )

        run_in_virtual_time(check())
