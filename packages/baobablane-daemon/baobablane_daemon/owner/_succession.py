"""Watch the current owner if this instance is one of its first successors."""

import asyncio
from collections.abc import Awaitable, Callable

from baobablane.succession import (
    OwnerContact,
    Suspicion,
    find_suspicion,
    line_of_succession,
)

from ..decision_log import DecisionLog
from ..jobs import OwnerHeartbeat, Views, boot_seconds, holder_instance, loggable_age
from ._owner_link import OwnerLink
from ._owner_message import OwnerMessage

CHECK_INTERVAL_SECONDS = 0.1
# While the store is well, the view is at most 0.6 s old.
MAX_WELL_VIEW_AGE_SECONDS = 0.8


class Succession:
    """Own the contact with the current owner, and judge what it shows."""

    def __init__(
        self,
        open_link: Callable[[], OwnerLink] | None,
        register: Callable[[], Awaitable[None]],
        instance: str,
        views: Views,
        log: DecisionLog,
    ) -> None:
        """Start without a contact; `views` shows the owner and the instances.

        Without `open_link`, this instance neither watches nor is watched. `register`
        tells others where to watch it.
        """
        self._open_link = open_link
        self._register = register
        self._link: OwnerLink | None = None
        self._instance = instance
        self._views = views
        self._log = log
        # When the store was last found to be away or a read failed; -inf before that.
        self._store_well_since = float("-inf")
        self._contact: OwnerContact | None = None
        self._task: asyncio.Task[None] | None = None
        self._suspicion: Suspicion | None = None
        # Whether others have been told where to watch this instance.
        self.is_registered = False
        # Whether another instance has been registered since the start.
        self.has_seen_others = False

    async def run(self) -> None:
        """Open the link after the start, and follow the owner until cancelled."""
        try:
            while not self._views.has_read_all():
                await asyncio.sleep(CHECK_INTERVAL_SECONDS)
            if self._open_link is not None:
                self._link = self._open_link()
                if self._link.is_open:
                    await self._register()
                    self.is_registered = True
            while True:
                self._check_store(boot_seconds())
                self._follow_owner()
                peers = self._views.peer_by_instance.keys()
                self.has_seen_others |= bool(peers - {self._instance})
                await asyncio.sleep(CHECK_INTERVAL_SECONDS)
        finally:
            self._end_contact()
            if self._link is not None:
                self._link.close()

    async def send(self, message: OwnerMessage) -> None:
        """Send a message of this process, which owns, to those that watch it."""
        if self._link is not None:
            await self._link.send(message)

    def line(self) -> tuple[str, ...]:
        """Return the instances that watch the current owner, its successor first."""
        heartbeat = self._views.owner_heartbeat
        if heartbeat is None:
            return ()
        owner = holder_instance(heartbeat.holder)
        return line_of_succession(self._views.peer_by_instance, owner, heartbeat.epoch)

    def suspicion(self, now: float) -> Suspicion | None:
        """Return why the owner is suspected to be lost, or None; log each change."""
        heartbeat, contact = self._views.owner_heartbeat, self._contact
        if heartbeat is None or contact is None or not _is_current(contact, heartbeat):
            return None
        self._check_store(now)
        signs = contact.signs(now, heartbeat.received_at, self._store_well_since)
        suspicion = find_suspicion(signs)
        if suspicion is not self._suspicion:
            self._suspicion = suspicion
            self._log.info(
                "owner-suspected" if suspicion else "owner-trusted",
                epoch=heartbeat.epoch,
                holder=heartbeat.holder,
                reason=suspicion.value if suspicion else "",
                heartbeat_seconds=loggable_age(signs.heartbeat_age),
                message_seconds=loggable_age(signs.message_age),
                view_seconds=loggable_age(self._views.state_view.age()),
            )
        return suspicion

    def _check_store(self, now: float) -> None:
        view = self._views.state_view
        if view.age() > MAX_WELL_VIEW_AGE_SECONDS:
            self._store_well_since = now
        # A store that rejects a part of all calls keeps the view fresh.
        self._store_well_since = max(self._store_well_since, view.failed_at)

    def _follow_owner(self) -> None:
        heartbeat = self._views.owner_heartbeat
        if (
            heartbeat is None
            or heartbeat.is_leaving
            or self._instance not in self.line()
        ):
            self._end_contact()
            return
        if self._contact is not None and _is_current(self._contact, heartbeat):
            return
        self._end_contact()
        if self._link is None:
            return
        peer = self._views.peer_by_instance.get(holder_instance(heartbeat.holder))
        if peer is None:
            return
        self._contact = OwnerContact(heartbeat.epoch, heartbeat.holder)
        self._log.info(
            "owner-watched",
            epoch=heartbeat.epoch,
            line=list(self.line()),
            address=peer.address,
        )
        self._task = asyncio.get_running_loop().create_task(
            self._watch(self._link, peer.address, self._contact)
        )
        self._task.add_done_callback(self._on_watch_done)

    def _end_contact(self) -> None:
        if self._task is not None:
            self._task.cancel()
        self._contact = self._task = self._suspicion = None

    async def _watch(
        self, link: OwnerLink, address: str, contact: OwnerContact
    ) -> None:
        await link.watch(address, contact)

    def _on_watch_done(self, task: "asyncio.Task[None]") -> None:
        error = None if task.cancelled() else task.exception()
        if isinstance(error, Exception):
            self._log.error("watch-failed", error)
            if self._task is task:
                # The next check connects again.
                self._end_contact()


def _is_current(contact: OwnerContact, heartbeat: OwnerHeartbeat) -> bool:
    return contact.is_of(heartbeat.epoch, heartbeat.holder)
