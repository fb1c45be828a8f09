"""Play changes of owner between instances on one store, in virtual time."""

import asyncio
from collections import defaultdict
from dataclasses import dataclass, field

from baobablane.jobs import JobProgress, decode_progress, encode_progress
from baobablane_platform import (
    KeyedRecord,
    NewestPage,
    RecordPage,
    StoreFencedError,
    StoreRejectedError,
    StoreSequenceError,
    StoreUnknownOutcomeError,
)
from baobablane_platform._keyed_record import decode_record
from baobablane_standin.platform._partition import Partition

from baobablane_daemon.decision_log import DecisionLog
from baobablane_daemon.jobs import (
    PROGRESS_TOPIC,
    Peer,
    Views,
    boot_seconds,
    make_holder,
)
from baobablane_daemon.owner import Candidacy, Ownership, Succession
from baobablane_daemon.owner._progress_writer import ProgressWriter

from ...tests.store_model import append_to_partition
from .lease_records import make_lease_record

# The progress of this job shows the epoch of the owner that recorded it.
JOB = "00000000000000a1"
CALL_SECONDS = 0.007
READ_TIMEOUT_SECONDS = 1.3
ROUND_SECONDS = 0.1
MESSAGE_SECONDS = 0.1


class Access:
    """Name how an instance reaches the store, and how others reach it."""

    WELL = "well"
    # The store answers 503 at once.
    REJECTED = "rejected"
    # Nothing that is sent arrives.
    CUT = "cut"
    # Besides, nothing arrives at other instances, and calls go on afterwards.
    FROZEN = "frozen"


@dataclass
class Link:
    """Hold how one instance reaches the store."""

    access: str = Access.WELL
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    def set(self, access):
        """Change the access."""
        self.access = access
        self.changed.set()
        self.changed = asyncio.Event()

    async def pass_through(self, seconds):
        """Wait as a call does on its way, or raise the error of a failed call."""
        await asyncio.sleep(CALL_SECONDS / 2)
        if self.access == Access.REJECTED:
            raise StoreRejectedError("status 503")
        if self.access == Access.CUT:
            await asyncio.sleep(seconds)
            raise StoreUnknownOutcomeError("no response")
        while self.access == Access.FROZEN:
            await self.changed.wait()


class StoreOf:
    """Call the partitions over the link of one instance."""

    def __init__(self, partition_by_topic, link):
        """Share the partitions with all other instances."""
        self._partition_by_topic = partition_by_topic
        self._link = link

    async def read(
        self, topic, partition, start, wait_ms, on_data=lambda received_bytes: None
    ):
        """Return the records from an offset on."""
        await self._link.pass_through(READ_TIMEOUT_SECONDS)
        records = self._partition_by_topic[topic]
        await records.wait_for_record(start, wait_ms / 1000)
        await self._link.pass_through(READ_TIMEOUT_SECONDS)
        on_data(1)
        return RecordPage(records.end_offset, 0, records.records[start:])

    async def read_newest(
        self, topic, partition, after, on_data=lambda received_bytes: None
    ):
        """Return the newest records on one page."""
        await self._link.pass_through(READ_TIMEOUT_SECONDS)
        on_data(1)
        records = self._partition_by_topic[topic]
        newest = [KeyedRecord(key, v) for key, (_, v) in records.newest.items()]
        return NewestPage(records.end_offset, newest, None)

    async def append(
        self,
        topic,
        partition,
        records,
        producer=None,
        timeout_seconds=2.5,
        expected_end=None,
    ):
        """Append as the store does."""
        await self._link.pass_through(timeout_seconds)
        new_end = append_to_partition(
            self._partition_by_topic[topic], records, producer, expected_end
        )
        await self._link.pass_through(timeout_seconds)
        return new_end


class LinkOf:
    """Carry what owners report to one instance."""

    is_open = True

    def __init__(self, deployment):
        """Connect to any instance of a deployment."""
        self._deployment = deployment

    async def watch(self, address, contact):
        """Note what an instance reports until cancelled."""
        await self._deployment.watch(address, contact)

    def close(self):
        """Do nothing: the watch is cancelled."""


async def _do_nothing():
    pass


class Instance:
    """Run one entry instance's part in the succession."""

    def __init__(self, deployment, name):
        """Start with a link that is well."""
        self._deployment = deployment
        self.name = name
        self.link = Link()
        self.is_alive = False
        self.ownership = self.writer = self.store = self._task = None
        self.starts = 0

    def start(self):
        """Start a process, as a new holder."""
        self.starts += 1
        self.is_alive = True
        log = DecisionLog(self.name)
        store = self.store = StoreOf(self._deployment.partition_by_topic, self.link)
        views = Views(store, log)
        holder = make_holder(self.name, self.starts)
        succession = Succession(
            lambda: LinkOf(self._deployment), _do_nothing, self.name, views, log
        )
        candidacy = Candidacy(
            holder,
            True,
            lambda: views.owner_heartbeat,
            views.progress_tail.age,
            boot_seconds(),
            succession.line,
            succession.suspicion,
        )
        self.ownership = Ownership(store, views, log, holder, True, candidacy)
        self._task = asyncio.create_task(self._run(store, views, succession))

    def kill(self):
        """End the process at once."""
        self.is_alive = False
        self._task.cancel()

    async def _run(self, store, views, succession):
        views.peer_by_instance = self._deployment.peer_by_instance
        views.has_read_all = lambda: True
        async with asyncio.TaskGroup() as group:
            group.create_task(views.progress_tail.run())
            group.create_task(succession.run())
            group.create_task(self.ownership.run())
            group.create_task(self._own(store))

    async def _own(self, store):
        while True:
            await asyncio.sleep(ROUND_SECONDS / 10)
            epoch = self.ownership.epoch
            if epoch is None:
                continue
            self._deployment.note_owner(self.name, epoch)
            self.writer = ProgressWriter(
                store,
                epoch,
                self.ownership.holder,
                True,
                self.ownership.confirm,
                make_lease_record(),
            )
            progress = JobProgress(first_open=epoch)
            try:
                while self.ownership.epoch == epoch:
                    await self.writer.write({JOB: encode_progress(progress)})
                    await asyncio.sleep(ROUND_SECONDS)
            except (StoreFencedError, StoreSequenceError) as error:
                self.ownership.end(str(error), epoch)


class Deployment:
    """Run instances, and keep who owned when."""

    def __init__(self, count):
        """Prepare instances that know each other."""
        self.partition_by_topic = defaultdict(lambda: Partition(True))
        names = [f"entry-{number}" for number in range(count)]
        self.peer_by_instance = {name: Peer(name) for name in names}
        self.by_name = {name: Instance(self, name) for name in names}
        # Time, instance and epoch of each beginning of an ownership.
        self.owners = []

    def note_owner(self, name, epoch):
        """Note that an instance has become the owner."""
        self.owners.append((boot_seconds(), name, epoch))

    def owner(self):
        """Return the instance that became the owner last."""
        return self.by_name[self.owners[-1][1]]

    def recorded_epochs(self):
        """Return the epochs of the owners' records, in the order of the store."""
        raw_records = self.partition_by_topic[PROGRESS_TOPIC].records
        records = [decode_record(content) for content in raw_records]
        return [decode_progress(r.value).first_open for r in records if r.key == JOB]

    async def watch(self, address, contact):
        """Carry an owner's messages to one watcher."""
        sender = self.by_name[address]
        process = sender.starts
        is_connected = False
        while True:
            is_reachable = sender.is_alive and sender.starts == process
            if not is_reachable and is_connected:
                contact.note_disconnected(boot_seconds())
            elif is_reachable and sender.link.access != Access.FROZEN:
                is_connected = True
                self._send(sender.ownership, sender.writer, contact)
            await asyncio.sleep(MESSAGE_SECONDS)

    def _send(self, ownership, writer, contact):
        now = boot_seconds()
        if contact.is_of(ownership.epoch, ownership.holder) and writer is not None:
            age = ownership.confirmation_age(now)
            contact.note_message(now, age, writer.failing_for())
