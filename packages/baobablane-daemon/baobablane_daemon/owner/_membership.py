"""Stay in the group whose store names the owner."""

import asyncio

from baobablane_platform import StoreClient, StoreError

from ..jobs import PROGRESS_TOPIC, boot_seconds
from ..tasks import DecisionLog
from ._candidacy import Candidacy

GROUP = "owners"
# A killed owner is replaced after this. Most pauses of an owner last for seconds, and
# its work waits meanwhile, so little more than the store's shortest, 1 s, is best.
TTL_MS = 1200
# A join that is lost leaves time for two more.
JOIN_SECONDS = 0.3
# While members come and go the store deals the partition anew, and a member learns of
# it only when it joins again: for a while after each change it does so sooner.
FORMING_JOIN_SECONDS = 0.1
FORMING_SECONDS = 1.5
# For so long an owner that can't reach the store goes on renewing leases, so that with
# a lease on top an outage of 8 s ends no work. It starts nothing meanwhile.
UNCONFIRMED_SECONDS = 4.0


class GroupMember:
    """Own this process's place in the group; tell when it owns the partition."""

    def __init__(
        self, store: StoreClient, log: DecisionLog, member: str, candidacy: Candidacy
    ) -> None:
        """Join under a name that no earlier incarnation had."""
        self._candidacy = candidacy
        self._is_member = False
        self._store = store
        self._log = log
        self._base_name = member
        self._renamed = 0
        self._generation = 0
        self._last_epoch = 0
        self._confirmed_at = float("-inf")
        # When the group's generation was last seen to change.
        self._changed_at = float("-inf")
        # The generation in which the partition was got, or None.
        self.epoch: int | None = None
        self.changed = asyncio.Event()

    async def run(self) -> None:
        """Stay in the group until cancelled."""
        while True:
            if self.epoch is not None or self._candidacy.stands(boot_seconds()):
                self._is_member = True
                await self._join()
            elif self._is_member:
                await self.step_down("another owner was heard")
            is_forming = boot_seconds() - self._changed_at < FORMING_SECONDS
            await asyncio.sleep(FORMING_JOIN_SECONDS if is_forming else JOIN_SECONDS)

    def is_confirmed(self, seconds: float) -> bool:
        """Return whether the store confirmed the ownership within some seconds."""
        age = boot_seconds() - self._confirmed_at
        return self.epoch is not None and age < seconds

    async def step_down(self, reason: str) -> None:
        """Give up the ownership, and come back as a new member of the group."""
        self._end_ownership(reason)
        if not self._is_member:
            return
        self._is_member = False
        old_name = self._name()
        self._renamed += 1
        try:
            await self._store.leave(GROUP, old_name)
        except StoreError as error:
            self._log.info("leave-failed", reason=str(error))

    def _name(self) -> str:
        return f"{self._base_name}-{self._renamed}"

    async def _join(self) -> None:
        asked_at = boot_seconds()
        name = self._name()
        try:
            membership = await self._store.join(
                GROUP, name, [PROGRESS_TOPIC], TTL_MS, self._generation
            )
        except StoreError as error:
            if self.epoch is not None and not self.is_confirmed(UNCONFIRMED_SECONDS):
                await self.step_down(f"unconfirmed: {error}")
            return
        if name != self._name():
            return
        if membership.generation != self._generation:
            self._changed_at = asked_at
        self._generation = membership.generation
        self._confirmed_at = asked_at
        if (PROGRESS_TOPIC, 0) not in membership.partitions:
            self._end_ownership("the store names another owner")
        elif self.epoch is None and membership.generation > self._last_epoch:
            self.epoch = self._last_epoch = membership.generation
            self._log.info("owner-begins", epoch=self.epoch)
            self._set_changed()

    def _end_ownership(self, reason: str) -> None:
        if self.epoch is None:
            return
        self._log.info("owner-ended", epoch=self.epoch, reason=reason)
        self.epoch = None
        self._set_changed()

    def _set_changed(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()
