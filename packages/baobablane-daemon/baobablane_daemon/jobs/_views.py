"""Maintain this entry instance's views of the records in the store."""

import asyncio
import math
from collections.abc import Callable

import msgspec
from baobablane.admission import decode_load
from baobablane.crashes import Host, decode_host
from baobablane.deployment import Configuration, Wave
from baobablane.jobs import (
    JobState,
    JobTable,
    decode_cancellation,
    decode_job,
    decode_progress,
)
from baobablane.maintenance import WaveProgress, decode_wave_progress
from baobablane.sizing import BurstStarts, decode_burst_starts
from baobablane_platform import (
    CONFIGURATION_KEY,
    EVACUATION_KEY_PREFIX,
    OPERATOR_TOPIC,
    WAVE_KEY_PREFIX,
    KeyedRecord,
    StoreClient,
    decode_configuration,
    decode_evacuated_zone,
    decode_wave,
)

from ..decision_log import DecisionLog
from ._clock import boot_seconds, loggable_age, unix_ms
from ._order_record import InstanceOrderRecord, decode_order_record
from ._owner_heartbeat import OwnerHeartbeat, decode_owner_heartbeat
from ._owner_load import OwnerLoad
from ._peer import Peer, decode_peer
from ._process_ends import ProcessEnds
from ._topic_tail import TopicTail

# Written by all entry instances: accepted jobs and cancellations.
JOBS_TOPIC = "keyed.jobs"
# Written by the owner only: heartbeats, the progress of jobs and waves, orders for
# instances, and burst starts. A claim of the ownership is the first heartbeat.
PROGRESS_TOPIC = "keyed.progress"
# Written by the owner only: the state of each job and the owner's heartbeats.
STATES_TOPIC = "keyed.states"
# Callers ask for a state at about the time at which the job ends, and again later. An
# older view would show the end only then. Larger reads are slower over a narrow link.
PROGRESS_PAUSE_SECONDS = 0.1
# A query for a job that has not ended reads immediately, and only the timeout of the
# owner's heartbeats, which small instances double, needs the view between queries.
STATES_PAUSE_SECONDS = 0.4
# A query for an unknown job reads immediately, and only the owner needs each new job.
JOBS_PAUSE_SECONDS = 0.25
# Key prefix in the topic of jobs; the id of a job follows.
CANCEL_PREFIX = "cancel/"
# Key prefix in the topic of jobs; the name of an entry instance that follows the topic
# of states follows.
STATE_READER_PREFIX = "reader/"
# Key prefix in the topic of jobs; the name of an entry instance that can be the owner
# of a full fleet follows.
PEER_PREFIX = "peer/"
# Keys in the topic of progress: prefixes that the number of a wave or the id of an
# instance follows, and the key of burst starts. Progress of a job has the key `job.id`.
WAVE_PROGRESS_PREFIX = "wave/"
INSTANCE_ORDER_PREFIX = "order/"
HOST_PREFIX = "host/"
BURST_STARTS_KEY = "rises"
# Key of the owner's heartbeats, in the topic of progress.
OWNER_HEARTBEAT_KEY = "owner"
# Key of the load record, in the topics of progress and of states.
LOAD_KEY = "load"


class Views:
    """Follow the configuration, the waves, the jobs and the owner in the store."""

    def __init__(
        self, store: StoreClient, log: DecisionLog, follows_progress: bool = True
    ) -> None:
        """Start without a configuration; nothing is read yet.

        Without `follows_progress`, follow the states of jobs in place of their whole
        progress, which is read only when this process becomes the owner.
        """
        self._log = log
        self.follows_progress = follows_progress
        # Entry instances that follow the states.
        self.state_readers: set[str] = set()
        # Entry instances that can be the owner of a full fleet.
        self.peer_by_instance: dict[str, Peer] = {}
        self.process_ends = ProcessEnds()
        self.configuration: Configuration | None = None
        self.waves: dict[int, Wave] = {}
        # Zones in which operators allow no starts, whether or not they are known.
        self.evacuated_zones: frozenset[str] = frozenset()
        self.progress_by_wave: dict[int, WaveProgress] = {}
        self.order_by_instance: dict[str, InstanceOrderRecord] = {}
        self.host_by_instance: dict[str, Host] = {}
        # Starts of the pools' demand bursts, as recorded by the latest owner.
        self.burst_starts: BurstStarts = []
        # The owner's latest heartbeat, or None before the first.
        self.owner_heartbeat: OwnerHeartbeat | None = None
        # The latest load record, or None before the first.
        self.owner_load: OwnerLoad | None = None
        self.job_table = JobTable()
        self.operator_tail = TopicTail(
            store,
            log,
            OPERATOR_TOPIC,
            self._on_operator_record,
            skips_superseded=True,
        )
        self.jobs_tail = TopicTail(
            store, log, JOBS_TOPIC, self._on_job_record, JOBS_PAUSE_SECONDS
        )
        self.progress_tail = TopicTail(
            store,
            log,
            PROGRESS_TOPIC,
            self._on_progress_record,
            PROGRESS_PAUSE_SECONDS,
        )
        self.states_tail = TopicTail(
            store, log, STATES_TOPIC, self._on_state_record, STATES_PAUSE_SECONDS
        )
        # Shows the states of jobs and the owner's heartbeats.
        self.state_view = self.progress_tail if follows_progress else self.states_tail
        # Called with the id of a changed job, or an empty string after other changes.
        self.on_change: Callable[[str], None] = lambda job_id: None
        # Called after each newer load record.
        self.on_load: Callable[[OwnerLoad], None] = lambda load: None
        # Called with the key of each record read from the topic of jobs.
        self.on_job_read: Callable[[str], None] = lambda key: None

    def set_is_owner(self, is_owner: bool) -> None:
        """Read new jobs without a pause while this process is the owner."""
        self.jobs_tail.pause_seconds = 0.0 if is_owner else JOBS_PAUSE_SECONDS

    def has_read_all(self) -> bool:
        """Return whether there is a configuration and all topics were read once."""
        tails = (self.operator_tail, self.jobs_tail, self.state_view)
        # The states are complete once an owner publishes them.
        has_states = self.follows_progress or self.owner_heartbeat is not None
        return (
            self.configuration is not None
            and has_states
            and all(math.isfinite(tail.confirmed_at) for tail in tails)
        )

    async def run(self) -> None:
        """Follow all topics until cancelled."""
        await asyncio.gather(
            self.operator_tail.run(), self.jobs_tail.run(), self.state_view.run()
        )

    async def catch_up(self) -> None:
        """Read everything stored so far, or raise a StoreError."""
        await asyncio.gather(
            self.operator_tail.catch_up(),
            self.jobs_tail.catch_up(),
            self.catch_up_progress(),
        )

    async def catch_up_progress(self) -> None:
        """Read all progress stored so far, or raise a StoreError."""
        if not self.follows_progress:
            # The newest records are fewer than those written since the latest read.
            self.progress_tail.skip_to_newest()
        await self.progress_tail.catch_up()

    def _on_operator_record(self, record: KeyedRecord) -> None:
        try:
            if record.key == CONFIGURATION_KEY and record.value:
                self._apply_configuration(
                    decode_configuration(record.value), len(record.value)
                )
            elif record.key.startswith(WAVE_KEY_PREFIX) and record.value:
                wave = decode_wave(record.value)
                self.waves[wave.number] = wave
                self._log.info("wave-read", wave=wave.number, size=len(wave.instances))
            elif record.key.startswith(EVACUATION_KEY_PREFIX):
                zone = decode_evacuated_zone(record.key)
                self._set_evacuated(zone, record.value is not None)
        except msgspec.DecodeError as error:
            self._log.info("record-skipped", key=record.key, reason=str(error))
            return
        self.on_change("")

    def _set_evacuated(self, zone: str, is_evacuated: bool) -> None:
        if (zone in self.evacuated_zones) == is_evacuated:
            return
        # The zone is in exactly one of both sets.
        self.evacuated_zones ^= {zone}
        self._log.metrics.evacuated_zones.set(len(self.evacuated_zones))
        self._log.info(
            "evacuation-began" if is_evacuated else "evacuation-ended",
            zone=zone,
            view_seconds=loggable_age(self.operator_tail.age()),
        )

    def _apply_configuration(
        self, configuration: Configuration, size_bytes: int
    ) -> None:
        if self.configuration and configuration.version <= self.configuration.version:
            return
        self.configuration = configuration
        self._log.info(
            "configuration-in-force",
            version=configuration.version,
            queues=len(configuration.queues_by_name),
            size_bytes=size_bytes,
            view_seconds=loggable_age(self.operator_tail.age()),
        )

    def _on_job_record(self, record: KeyedRecord) -> None:
        self.on_job_read(record.key)
        if record.key.startswith(STATE_READER_PREFIX):
            reader = record.key.removeprefix(STATE_READER_PREFIX)
            if record.value is None:
                self.state_readers.discard(reader)
            else:
                self.state_readers.add(reader)
            return
        if record.key.startswith(PEER_PREFIX):
            self._on_peer_record(record)
            return
        if record.key.startswith(CANCEL_PREFIX):
            job_id = record.key.removeprefix(CANCEL_PREFIX)
            if record.value is None:
                self.job_table.remove_cancellation(job_id)
            elif self.job_table.cancel(job_id, decode_cancellation(record.value)):
                self.on_change(job_id)
            return
        if record.value is None:
            self.job_table.remove(record.key)
            return
        try:
            job = decode_job(record.value)
        except msgspec.DecodeError as error:
            self._log.info("record-skipped", key=record.key, reason=str(error))
            return
        if self.job_table.accept(job):
            self.on_change(job.id)

    def _on_peer_record(self, record: KeyedRecord) -> None:
        instance = record.key.removeprefix(PEER_PREFIX)
        if record.value is None:
            self.peer_by_instance.pop(instance, None)
            return
        try:
            peer = self.peer_by_instance[instance] = decode_peer(record.value)
            self.process_ends.observe(instance, peer, boot_seconds())
        except msgspec.DecodeError as error:
            self._log.info("record-skipped", key=record.key, reason=str(error))

    def _on_state_record(self, record: KeyedRecord) -> None:
        if record.value is None:
            self.job_table.remove_state(record.key)
            return
        try:
            if record.key == OWNER_HEARTBEAT_KEY:
                self._apply_heartbeat(record.value)
            elif record.key == LOAD_KEY:
                self._apply_load(record.value)
            else:
                state = JobState(int(record.value))
                self.job_table.set_state(record.key, state)
        except (msgspec.DecodeError, ValueError) as error:
            self._log.info("record-skipped", key=record.key, reason=str(error))

    def _apply_heartbeat(self, value: bytes) -> None:
        heartbeat = decode_owner_heartbeat(
            value, self.owner_heartbeat, unix_ms(), boot_seconds()
        )
        known = self.owner_heartbeat
        if known is None or not heartbeat.is_older_than(known):
            self.owner_heartbeat = heartbeat

    def _apply_load(self, value: bytes) -> None:
        summary = decode_load(value)
        # Both topics have the record, and a topic may be read again from its start.
        if self.owner_load and summary.version <= self.owner_load.summary.version:
            return
        self.owner_load = OwnerLoad(summary, boot_seconds())
        self.on_load(self.owner_load)

    def _on_progress_record(self, record: KeyedRecord) -> None:
        if record.value is None:
            self.job_table.remove(record.key)
            return
        try:
            if record.key.startswith(WAVE_PROGRESS_PREFIX):
                number = int(record.key.removeprefix(WAVE_PROGRESS_PREFIX))
                self.progress_by_wave[number] = decode_wave_progress(record.value)
            elif record.key.startswith(INSTANCE_ORDER_PREFIX):
                instance = record.key.removeprefix(INSTANCE_ORDER_PREFIX)
                self.order_by_instance[instance] = decode_order_record(record.value)
            elif record.key.startswith(HOST_PREFIX):
                instance = record.key.removeprefix(HOST_PREFIX)
                self.host_by_instance[instance] = decode_host(record.value)
            elif record.key == OWNER_HEARTBEAT_KEY:
                self._apply_heartbeat(record.value)
            elif record.key == LOAD_KEY:
                self._apply_load(record.value)
            elif record.key == BURST_STARTS_KEY:
                self.burst_starts = decode_burst_starts(record.value)
            else:
                self.job_table.set_progress(record.key, decode_progress(record.value))
        except msgspec.DecodeError as error:
            self._log.info("record-skipped", key=record.key, reason=str(error))
