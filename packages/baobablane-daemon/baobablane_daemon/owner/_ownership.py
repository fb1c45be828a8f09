"""Claim the ownership, and know for how long it stands."""

import asyncio

from baobablane_platform import (
    KeyedRecord,
    Producer,
    StoreClient,
    StoreError,
    StoreFencedError,
    StoreMovedError,
    StoreSequenceError,
)

from ..jobs import (
    OWNER_KEY,
    PROGRESS_TOPIC,
    OwnerHeartbeat,
    Views,
    boot_seconds,
    encode_owner_heartbeat,
    unix_ms,
)
from ..tasks import DecisionLog
from ._candidacy import Candidacy
from ._progress_writer import PRODUCER_NAME, first_sequence

# Whether to stand is looked at this often; it takes no call.
CHECK_INTERVAL_SECONDS = 0.05
# A calm append takes some 15 ms, and 0.4 s through a store of 90 times the usual time.
CLAIM_TIMEOUT_SECONDS = 0.8
# For so long an owner that can't reach the store goes on renewing leases, so that with
# a lease on top an outage of 7 s ends no work. It starts nothing meanwhile.
MAX_UNCONFIRMED_SECONDS = 4.0


class Ownership:
    """Own this process's claim to place all tasks.

    A claim is a record under the next epoch, appended on the condition that nothing
    was recorded since this process looked. So one claim of each epoch succeeds, and
    every later record of an earlier owner is refused.
    """

    def __init__(
        self,
        store: StoreClient,
        views: Views,
        log: DecisionLog,
        holder: str,
        is_large: bool,
        candidacy: Candidacy,
    ) -> None:
        """Claim under a name that no earlier process had."""
        self._store = store
        self._views = views
        self._log = log
        self.holder = holder
        self._is_large = is_large
        self._candidacy = candidacy
        self._last_epoch = 0
        self._confirmed_at = float("-inf")
        # The epoch under which this process is the owner, or None.
        self.epoch: int | None = None
        # Whether an ownership ends because this process does.
        self.is_stopping = False
        self.changed = asyncio.Event()

    async def run(self) -> None:
        """Claim whenever this instance stands, until cancelled."""
        while True:
            now = boot_seconds()
            if self.epoch is not None:
                if not self.is_confirmed(MAX_UNCONFIRMED_SECONDS):
                    self.resign("unconfirmed")
            elif (
                epoch := self._epoch_of_own_claim(self._views.owner_heartbeat)
            ) is not None:
                self._begin_ownership(epoch, now)
            elif self._candidacy.should_claim(now):
                await self._claim(now)
            await asyncio.sleep(CHECK_INTERVAL_SECONDS)

    def confirm(self, requested_at: float) -> None:
        """Note that the store took a record of this owner that was sent at a time."""
        self._confirmed_at = max(self._confirmed_at, requested_at)

    def is_confirmed(self, seconds: float) -> bool:
        """Return whether the store confirmed the ownership within some seconds."""
        age = boot_seconds() - self._confirmed_at
        return self.epoch is not None and age < seconds

    def resign(self, reason: str) -> None:
        """End the ownership, if there is one."""
        if self.epoch is None:
            return
        self._log.info("owner-ended", epoch=self.epoch, reason=reason)
        self.epoch = None
        self._set_changed()

    def stop(self) -> None:
        """End the ownership because the process ends; its successor is told."""
        self.is_stopping = True
        self.resign("stopping")

    def _epoch_of_own_claim(self, heartbeat: OwnerHeartbeat | None) -> int | None:
        # The answer to a claim may have been lost, and its record be read all the same.
        if (
            heartbeat is None
            or heartbeat.holder != self.holder
            or heartbeat.epoch <= self._last_epoch
        ):
            return None
        return heartbeat.epoch

    async def _claim(self, now: float) -> None:
        position = self._views.progress_tail.position
        if position is None:
            return
        heartbeat = self._views.owner_heartbeat
        epoch = heartbeat.epoch + 1 if heartbeat else 1
        value = encode_owner_heartbeat(unix_ms(), epoch, self.holder, self._is_large)
        try:
            await self._store.append(
                PROGRESS_TOPIC,
                0,
                [KeyedRecord(OWNER_KEY, value)],
                Producer(PRODUCER_NAME, epoch, first_sequence(self.holder)),
                CLAIM_TIMEOUT_SECONDS,
                only_at=position,
            )
        except (StoreMovedError, StoreFencedError, StoreSequenceError) as error:
            self._log.info("claim-lost", epoch=epoch, reason=str(error))
        except StoreError as error:
            self._log.info("claim-unsure", epoch=epoch, reason=str(error))
        else:
            self._begin_ownership(epoch, now)

    def _begin_ownership(self, epoch: int, requested_at: float) -> None:
        self.epoch = self._last_epoch = epoch
        self.confirm(requested_at)
        self._log.info("owner-begins", epoch=epoch)
        self._set_changed()

    def _set_changed(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()
