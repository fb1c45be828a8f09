"""Claim the ownership and track whether the store still confirms it."""

import asyncio

from baobablane.scheduling import InheritedLease
from baobablane_platform import (
    KeyedRecord,
    Producer,
    StoreClient,
    StoreError,
    StoreFencedError,
    StoreOffsetMismatchError,
    StoreSequenceError,
)

from ..decision_log import DecisionLog
from ..jobs import (
    OWNER_HEARTBEAT_KEY,
    PROGRESS_TOPIC,
    LeaseBounds,
    OwnerHeartbeat,
    Views,
    boot_seconds,
    encode_owner_heartbeat,
    holder_instance,
    unix_ms,
)
from ._candidacy import Candidacy
from ._fenced_appender import PRODUCER_NAME
from ._lease_record import (
    LEASE_SECONDS,
    MAX_LEASE_AFTER_HEARTBEAT_SECONDS,
    decode_inherited,
    encode_inherited,
)
from ._progress_writer import HEARTBEAT_INTERVAL_SECONDS, first_sequence

# Whether to claim is checked this often; the check makes no call.
CHECK_INTERVAL_SECONDS = 0.05
# An append usually takes about 15 ms, and 0.4 s while the store takes 90 times as long.
CLAIM_TIMEOUT_SECONDS = 0.8
# While the store is well, it answers a read in 10 to 20 ms. A claim that is sent to a
# store that is slow or away may be carried out when it is back.
VIEW_CONFIRMATION_SECONDS = 0.2
# Until the next such read, so that a store in trouble gets few of them.
CONFIRMATION_RETRY_SECONDS = 0.3
# An owner that can't reach the store renews leases for this long, but starts no tasks.
MAX_UNCONFIRMED_SECONDS = 4.0

# After an unexpected error, others get this much time to become the owner: a heartbeat
# has to time out and a small instance waits for longer.
ERROR_BACKOFF_SECONDS = 6.0


# After its last confirmation, an owner may renew leases until the next check.
MAX_RENEWAL_SECONDS = MAX_UNCONFIRMED_SECONDS + 2 * CHECK_INTERVAL_SECONDS
# The clocks of two entry instances may differ by this much. A process that read the
# last heartbeat at its start knows its age from both.
MAX_CLOCK_DIFFERENCE_SECONDS = 0.5
# The same on days on which clocks are stepped.
MAX_CLOCK_STEP_SECONDS = 5.5
# No lease lasts for as long, so a greater age tells no more.
MAX_RENEWAL_AGE_SECONDS = 60.0
# A start, or an order for an instance, is sent only if the ownership was confirmed
# within this time. Its record was stored just before, so a newer owner that claimed in
# the meantime knows of it.
MAX_CONFIRMATION_AGE_SECONDS = 1.0


class Ownership:
    """Claim, confirm and end this process's right to place all tasks.

    A claim is a record under the next epoch, appended on the condition that nothing
    was recorded since this process last read. So one claim per epoch succeeds. After
    it, the store rejects all records of earlier owners.
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
        """Start without the ownership; `holder` must be unique to this process."""
        self._store = store
        self._views = views
        self._log = log
        self.holder = holder
        self._is_large = is_large
        self._candidacy = candidacy
        self._last_epoch = 0
        self._no_claim_until = 0.0
        # The epoch that was claimed last, on the condition that the records end there,
        # and when that was tried first.
        self._claimed_epoch = 0
        self._claimed_offset = 0
        self.claimed_at = 0.0
        # Nobody has owned before the claim.
        self._is_first = False
        # When the ownership began, at the latest.
        self._begun_at = 0.0
        self._inherited: dict[str, InheritedLease] = {}
        # Runs that were started by then had settled under an earlier owner; 0 if that
        # is unknown. In Unix milliseconds; the claim tells it.
        self.settled_ms = 0
        # By then, the process that this one replaces had ended.
        self._started_at = boot_seconds()
        # The heartbeat before this process's claim; None if it is unknown.
        self._previous_heartbeat: OwnerHeartbeat | None = None
        self._confirmed_at = float("-inf")
        # The epoch under which this process is the owner, or None.
        self.epoch: int | None = None
        # Whether the ownership has ended because this process stops.
        self.is_stopping = False
        # Set at the next change of `epoch`, and then replaced by a new event.
        self.changed = asyncio.Event()

    async def run(self) -> None:
        """Claim the ownership when due, and end it if unconfirmed, until cancelled."""
        while True:
            now = boot_seconds()
            if self.epoch is not None:
                if not self.is_confirmed(MAX_UNCONFIRMED_SECONDS):
                    self.end("unconfirmed")
            elif (
                epoch := self._epoch_of_own_claim(self._views.owner_heartbeat)
            ) is not None:
                self._begin_ownership(epoch, now, self._views.owner_heartbeat)
            elif now >= self._no_claim_until and self._candidacy.should_claim(now):
                await self._claim_if_confirmed(now)
            await asyncio.sleep(CHECK_INTERVAL_SECONDS)

    def confirm(self, requested_at: float) -> None:
        """Confirm the ownership as of the time at which a stored record was sent.

        Times are in seconds of the monotonic clock.
        """
        self._confirmed_at = max(self._confirmed_at, requested_at)

    @property
    def instance(self) -> str:
        """Return the entry instance of this process."""
        return holder_instance(self.holder)

    def is_confirmed(self, seconds: float) -> bool:
        """Return whether the store confirmed the ownership in the last `seconds`."""
        age = boot_seconds() - self._confirmed_at
        return self.epoch is not None and age < seconds

    def holds(self, epoch: int, seconds: float) -> bool:
        """Return whether the store confirmed `epoch` in the last `seconds`.

        Check it immediately before each order: the process may have been suspended
        since it decided on the order.
        """
        return self.epoch == epoch and self.is_confirmed(seconds)

    def confirmation_age(self, now: float) -> float:
        """Return the seconds since the store confirmed the ownership."""
        return now - self._confirmed_at

    async def wait_for_end(self, epoch: int) -> None:
        """Wait until this process is not the owner under `epoch`."""
        while self.epoch == epoch:
            await self.changed.wait()

    def last_renewal_age(self, now: float) -> float | None:
        """Return for how many seconds no earlier owner has renewed any lease.

        Leases of `inherited_leases` are left out. It is negative if the latest owner
        may still do so, and None if it is unknown. All records before the claim were
        read, and earlier owners end sooner. It may be longer once another process of
        the latest owner's instance has registered.
        """
        heartbeat = self._previous_heartbeat
        if heartbeat is None:
            return MAX_RENEWAL_AGE_SECONDS if self._is_first else None
        earlier_age = heartbeat.lease_bounds.earlier_renewal_age
        if earlier_age is None:
            # An older version. Owners before it end sooner than it may.
            return now - (
                heartbeat.received_at
                # Until the next heartbeat is due, other records confirm it too.
                + HEARTBEAT_INTERVAL_SECONDS
                + MAX_RENEWAL_SECONDS
                + MAX_CLOCK_DIFFERENCE_SECONDS
            )
        sent_at = _latest_sending(heartbeat)
        # A later renewal is for less than a whole lease, which ends no later.
        latest_renewal = min(
            sent_at + MAX_LEASE_AFTER_HEARTBEAT_SECONDS - LEASE_SECONDS,
            self._views.process_ends.ended_by(heartbeat),
        )
        if heartbeat.is_leaving:
            latest_renewal = sent_at
        elif (
            holder_instance(heartbeat.holder) == self.instance
            and heartbeat.holder != self.holder
        ):
            latest_renewal = self._started_at
        return now - max(latest_renewal, sent_at - earlier_age)

    def earlier_renewal_age(self, now: float) -> float:
        """Return `last_renewal_age`, or the least that it can be if it is unknown."""
        age = self.last_renewal_age(now)
        if age is None:
            age = now - self._begun_at - MAX_RENEWAL_SECONDS
        return min(age, MAX_RENEWAL_AGE_SECONDS)

    def inherited_leases(self) -> dict[str, InheritedLease]:
        """Return by when upstreams that earlier owners did not reach run nothing.

        The claim names them.
        """
        return self._inherited

    def end(self, reason: str, epoch: int | None = None) -> None:
        """End the ownership if this process has it; `reason` is logged.

        With `epoch`, leave a later ownership of this process unchanged.
        """
        if self.epoch is None or epoch not in (None, self.epoch):
            return
        self._log.info("owner-ended", epoch=self.epoch, reason=reason)
        self.epoch = None
        self._notify_changed()

    def end_after_error(
        self,
        epoch: int,
        reason: str = "unexpected error",
        backoff_seconds: float = ERROR_BACKOFF_SECONDS,
    ) -> None:
        """End the ownership after an error, and claim none for a while."""
        self._no_claim_until = boot_seconds() + backoff_seconds
        self.end(reason, epoch)

    def allow_claims(self, is_allowed: bool) -> None:
        """Send claims only if allowed, as the process stops; one on its way may win."""
        self._no_claim_until = float("-inf" if is_allowed else "inf")

    def stop(self) -> None:
        """End the ownership because the process stops; `Owner.run` announces that."""
        self.is_stopping = True
        self.end("stopping")

    def _epoch_of_own_claim(self, heartbeat: OwnerHeartbeat | None) -> int | None:
        # The response to a claim may be lost although its record is stored.
        if (
            heartbeat is None
            or heartbeat.holder != self.holder
            or heartbeat.epoch <= self._last_epoch
        ):
            return None
        return heartbeat.epoch

    async def _claim_if_confirmed(self, now: float) -> None:
        """Claim; if the owner is only suspected, read the store before that."""
        if self._candidacy.needs_read:
            try:
                async with asyncio.timeout(VIEW_CONFIRMATION_SECONDS):
                    await self._views.state_view.catch_up()
            except (StoreError, TimeoutError) as error:
                self._log.info("claim-waits", reason=repr(error))
                self._no_claim_until = boot_seconds() + CONFIRMATION_RETRY_SECONDS
                return
            now = boot_seconds()
            if not self._candidacy.should_claim(now):
                return
        await self._claim(now)

    async def _claim(self, now: float) -> None:
        if not self._views.follows_progress and not await self._read_progress(now):
            return
        next_offset = self._views.progress_tail.next_offset
        if next_offset is None:
            return
        heartbeat = self._previous_heartbeat = self._views.owner_heartbeat
        epoch = heartbeat.epoch + 1 if heartbeat else 1
        if (epoch, next_offset) != (self._claimed_epoch, self._claimed_offset):
            # Claims under another condition can't be carried out any more: the records
            # since then were read.
            self._claimed_epoch, self._claimed_offset = epoch, next_offset
            self.claimed_at = now
        self._inherited = _decode_inherited(heartbeat)
        self.settled_ms = heartbeat.lease_bounds.settled_ms if heartbeat else 0
        self._is_first = heartbeat is None
        self._begun_at = now
        value = encode_owner_heartbeat(
            unix_ms(),
            epoch,
            self.holder,
            self._is_large,
            lease_bounds=LeaseBounds(
                encode_inherited(self._inherited, now),
                self.earlier_renewal_age(now),
                self.settled_ms,
            ),
        )
        try:
            await self._store.append(
                PROGRESS_TOPIC,
                0,
                [KeyedRecord(OWNER_HEARTBEAT_KEY, value)],
                Producer(PRODUCER_NAME, epoch, first_sequence(self.holder)),
                CLAIM_TIMEOUT_SECONDS,
                expected_end=next_offset,
            )
        except (
            StoreOffsetMismatchError,
            StoreFencedError,
            StoreSequenceError,
        ) as error:
            self._log.info("claim-lost", epoch=epoch, reason=str(error))
        except StoreError as error:
            self._log.info("claim-unsure", epoch=epoch, reason=str(error))
        else:
            self._begin_ownership(epoch, now)

    async def _read_progress(self, now: float) -> bool:
        """Read all progress; return whether a claim is still due after that."""
        try:
            await self._views.catch_up_progress()
        except StoreError as error:
            self._log.info("claim-waits", reason=str(error))
            return False
        # The records may show another owner, or a claim of this process of which the
        # response was lost.
        return self._epoch_of_own_claim(
            self._views.owner_heartbeat
        ) is None and self._candidacy.should_claim(now)

    def _begin_ownership(
        self, epoch: int, requested_at: float, claim: OwnerHeartbeat | None = None
    ) -> None:
        """Begin it; `claim` is the claim if it was read, as its response was lost."""
        previous = self._previous_heartbeat
        if previous is not None and previous.epoch != epoch - 1:
            # The claim before this one had a lost response.
            self._previous_heartbeat = None
            self._is_first = False
        if claim is not None:
            self._inherited = _decode_inherited(claim)
            self.settled_ms = claim.lease_bounds.settled_ms
        if epoch != self._claimed_epoch:
            # A later claim of this process has failed since.
            self.claimed_at = requested_at - MAX_LEASE_AFTER_HEARTBEAT_SECONDS
        self._begun_at = boot_seconds()
        self.epoch = self._last_epoch = epoch
        self.confirm(requested_at)
        self._log.info("owner-begins", epoch=epoch)
        self._notify_changed()

    def _notify_changed(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()


def _decode_inherited(heartbeat: OwnerHeartbeat | None) -> dict[str, InheritedLease]:
    if heartbeat is None:
        return {}
    return decode_inherited(heartbeat.lease_bounds, _latest_sending(heartbeat))


def _latest_sending(heartbeat: OwnerHeartbeat) -> float:
    """Return the latest time at which a heartbeat was sent, on the monotonic clock."""
    if heartbeat.read_at is None:
        return heartbeat.received_at
    return min(heartbeat.read_at, heartbeat.received_at + MAX_CLOCK_STEP_SECONDS)
