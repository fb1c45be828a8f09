"""Replay a store that rejects a part of the calls of all instances."""

import asyncio
import random

import pytest
from baobablane_platform import StoreRejectedError

from ...jobs.tests.virtual_time import run_in_virtual_time
from .hand_over_model import Link
from .test_hand_over import CALM_SECONDS, begin

TROUBLE_SECONDS = 4.5
# A call passes the link on its way there and back.
PASSES_PER_CALL = 2


class PartlyRejectedLink(Link):
    """Reject a share of the calls."""

    def __init__(self, share, chance):
        """Reject each call by itself; `chance` is the random generator."""
        super().__init__()
        self.share = share
        self._chance = chance

    async def pass_through(self, seconds):
        """Wait as a call does on its way, or raise the error of a rejected call."""
        await super().pass_through(seconds)
        if self._chance.random() >= (1.0 - self.share) ** (1 / PASSES_PER_CALL):
            raise StoreRejectedError("status 503")


def use_links(deployment, make_link):
    """Give the running processes of all instances other links."""
    for instance in deployment.by_name.values():
        instance.store._link = make_link()


class TestPartialRejections:
    """Test a store that is busy for all."""

    @pytest.mark.parametrize("share", [0.33, 0.7, 0.8])
    @pytest.mark.parametrize("seed", range(5))
    def test_owners_are_not_suspected_in_turn(self, seed, share):
        """Guards against a new owner every 0.4 s, each of which has to take over."""
        chance = random.Random(seed)

        async def play():
            deployment = await begin()
            use_links(deployment, lambda: PartlyRejectedLink(share, chance))
            await asyncio.sleep(TROUBLE_SECONDS)
            use_links(deployment, Link)
            await asyncio.sleep(CALM_SECONDS)
            return deployment.owners

        # By chance, a single change may look necessary.
        assert len(run_in_virtual_time(play())) <= 2
