"""Place all tasks while this process is the owner."""

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from dataclasses import asdict, replace
from functools import partial

import msgspec
from baobablane.crashes import Host, encode_host
from baobablane.deployment import UpstreamEntry
from baobablane.evacuation import start_window_seconds
from baobablane.jobs import JobProgress, JobState, encode_progress
from baobablane.maintenance import encode_wave_progress
from baobablane.scheduling import Scheduler
from baobablane_platform import (
    UPSTREAM_TOPIC,
    InstanceClient,
    KeyedRecord,
    ProcessSettings,
    StoreClient,
    StoreFencedError,
    StoreSequenceError,
    UpstreamFencedError,
    UpstreamOrderClient,
    decode_upstream_entry,
)

from ..decision_log import Decision, DecisionLog
from ..jobs import (
    HOST_PREFIX,
    WAVE_PROGRESS_PREFIX,
    TopicTail,
    Views,
    boot_seconds,
    unix_ms,
)
from ._candidacy import is_large
from ._event_log import log_events
from ._instance_manager import InstanceManager
from ._job_deleter import JobDeleter
from ._lease_record import LeaseRecord
from ._load_publisher import LoadPublisher
from ._order_channels import OrderChannels, OrderKind
from ._order_sender import OrderSender
from ._owner_message import OwnerMessage
from ._ownership import Ownership
from ._progress_writer import ProgressWriter
from ._retention_queue import RetentionQueue
from ._round_watch import RoundWatch
from ._takeover_policy import make_policy
from ._takeover_reads import read_topics
from ._upstream_poller import UpstreamPoller

# Maximum interval between rounds, which check due times and expired leases.
MAX_IDLE_SECONDS = 0.1
# The key of a record and its length; the id of a job has 16 characters.
MAX_KEY_BYTES = 32
# Errors that show that another process owns the placement.
OWNERSHIP_ERRORS = (StoreFencedError, StoreSequenceError, UpstreamFencedError)
# An owner that could not read lets others claim first for this long.
UNREAD_BACKOFF_SECONDS = 1.5
# A takeover adds so many jobs at a time: others wait for a heartbeat, and callers for
# responses.
JOBS_PER_TURN = 200
# Ended jobs accepted within this time count towards the rates of their accounts. The
# allowance of an account is full again after a few seconds without arrivals.
SHARE_HISTORY_MS = 60_000
METRICS_INTERVAL_SECONDS = 1.0
# A walk over all runs, which takes milliseconds.
COUNT_CHECK_INTERVAL_SECONDS = 5.0
# Others suspect an owner that has sent nothing for several times as long.
MESSAGE_INTERVAL_SECONDS = 0.1


class Owner:
    """Run the scheduler from the takeover until the ownership ends."""

    def __init__(
        self,
        store: StoreClient,
        views: Views,
        ownership: Ownership,
        log: DecisionLog,
        settings: ProcessSettings,
        epoch: int,
        send_message: Callable[[OwnerMessage], Awaitable[None]],
    ) -> None:
        """Prepare to place tasks under `epoch`, the fencing token of all orders.

        `send_message` sends a direct message to the instances that watch this one.
        """
        self._store = store
        self._views = views
        self._ownership = ownership
        self._log = log
        self._epoch = epoch
        self._send_message = send_message
        inherited_leases = ownership.inherited_leases()
        now = self._began_at = boot_seconds()
        self._scheduler = Scheduler(
            replace(
                make_policy(ownership.last_renewal_age(now)),
                divides_by_account=settings.divides_by_account,
                max_lease_seconds=settings.limits.max_lease_seconds,
            ),
            inherited_leases,
            now,
            ownership.settled_ms,
        )
        self._lease_record = LeaseRecord(
            self._scheduler,
            epoch,
            inherited_leases,
            ownership.earlier_renewal_age,
            ownership.claimed_at,
        )
        self._writer = ProgressWriter(
            store,
            epoch,
            ownership.holder,
            is_large(settings),
            ownership.confirm,
            self._lease_record,
        )
        self._orders = UpstreamOrderClient(self._log_unanswered)
        self._channels = OrderChannels(
            partial(UpstreamOrderClient, self._log_unanswered)
        )
        self._pollers: dict[str, UpstreamPoller] = {}
        self._wake = asyncio.Event()
        self._order_sender = OrderSender(
            self._scheduler,
            self._pollers,
            self._channels,
            settings.advisor_address,
            log,
            epoch,
            self._wake.set,
            self._may_order,
            self._start_window,
        )
        self._evacuation_seconds = settings.limits.evacuation_seconds
        self._instance_client = InstanceClient(
            settings.instance_list_address, settings.instance
        )
        self._instance_manager = InstanceManager(
            self._instance_client,
            views,
            self._scheduler,
            ownership,
            log,
            epoch,
            settings.limits.order_lease_seconds,
            self._writer,
            self._wake.set,
        )
        self._max_progress_bytes = settings.limits.max_record_bytes - MAX_KEY_BYTES
        self._changed_job_ids: list[str] = []
        self._metrics_set_at = float("-inf")
        self._counts_checked_at = now
        self._round_watch = RoundWatch(log)
        retention_seconds = settings.limits.state_retention_seconds
        self._ended_jobs = RetentionQueue(retention_seconds)
        self._early_cancellations = RetentionQueue(retention_seconds)
        self._job_deleter = JobDeleter(
            store,
            self._writer,
            self._ended_jobs,
            self._early_cancellations,
            lambda job_id: job_id in views.job_table.jobs_by_id,
            log,
            self._may_order,
        )
        self._load_publisher = LoadPublisher(
            self._scheduler, self._instance_manager.instances, self._writer, log, epoch
        )
        self._tasks: set[asyncio.Task[None]] = set()
        self._failure: asyncio.Future[None] = asyncio.get_running_loop().create_future()

    async def run(self) -> None:
        """Place tasks until the ownership ends or a newer owner fences this one.

        What the owner waits for then, such as the store, is given up.
        """
        loop = asyncio.get_running_loop()
        rounds = loop.create_task(self._run_rounds())
        end = loop.create_task(self._ownership.wait_for_end(self._epoch))
        try:
            self._start_task(self._report_to_watchers())
            await asyncio.wait(
                (rounds, end, self._failure), return_when=asyncio.FIRST_COMPLETED
            )
            if self._failure.done():
                self._failure.result()
            if self._ownership.is_stopping:
                # It is stored after the write that is on its way.
                await self._writer.announce_leaving()
            if rounds.done():
                rounds.result()
        except OWNERSHIP_ERRORS as error:
            self._ownership.end(f"fenced: {error}", self._epoch)
        finally:
            self._views.on_change = lambda job_id: None
            self._views.set_is_owner(False)
            self._log.metrics.set_evacuating_runs({})
            self._log.metrics.set_account_cores({}, {})
            tasks = (rounds, end, *self._tasks)
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            failure = self._failure.exception() if self._failure.done() else None
            if failure is not None:
                self._log.info("owner-failed", epoch=self._epoch, reason=repr(failure))
            await self._channels.close()
            await self._orders.close()
            await self._instance_client.close()
            await self._order_sender.close()

    async def _run_rounds(self) -> None:
        await self._take_over()
        while self._ownership.epoch == self._epoch:
            with self._round_watch.round():
                await self._run_round()
            await self._wait_for_wake()

    async def _take_over(self) -> None:
        tail = TopicTail(
            self._store,
            self._log,
            UPSTREAM_TOPIC,
            self._on_upstream,
            repeats_silent_reads=True,
        )
        # The claim is stored, so no earlier owner can append records after this read.
        if not await self._read_topics(tail):
            # Heartbeats would keep others from the ownership. They claim at once now.
            await self._writer.announce_leaving()
            self._ownership.end_after_error(
                self._epoch, "unread", UNREAD_BACKOFF_SECONDS
            )
            return
        self._views.on_change = self._on_change
        self._views.set_is_owner(True)
        self._apply_configuration()
        await self._take_over_jobs()
        self._lease_record.complete()
        self._log.info(
            "taken-over",
            epoch=self._epoch,
            jobs=len(self._scheduler.state.jobs),
            upstreams=len(self._scheduler.state.upstreams),
            unknown_lease_seconds=self._scheduler.state.policy.unknown_lease_seconds,
            inherited_leases=len(self._scheduler.state.inherited_by_upstream),
            # No lease lasts for longer than some seconds after this.
            claim_age_seconds=self._began_at - self._ownership.claimed_at,
        )
        self._instance_manager.take_over()
        self._start_task(self._update_lease_record())
        self._start_task(tail.run())
        self._start_task(self._writer.states.run())
        self._start_task(self._writer.wave_statuses.run())
        self._start_task(self._instance_manager.run())
        self._start_task(self._load_publisher.run())
        self._start_task(self._job_deleter.run())

    async def _take_over_jobs(self) -> None:
        """Add all jobs that were read, and store heartbeats meanwhile."""
        now = boot_seconds()
        self._scheduler.note_clock(now, unix_ms())
        job_table = self._views.job_table
        # The rates of accounts are counted in the order of acceptance.
        since_ms = unix_ms() - SHARE_HISTORY_MS
        # The tables may change at each turn; changed jobs are added by the next round.
        jobs = [
            (job, job_table.progress_by_id.get(job.id))
            for job in sorted(
                job_table.jobs_by_id.values(), key=lambda job: job.accepted_ms
            )
        ]
        for position, (job, progress) in enumerate(jobs):
            if position % JOBS_PER_TURN == 0:
                await self._writer.write_heartbeat()
                await asyncio.sleep(0.0)
            if progress is not None and progress.state.is_final():
                self._ended_jobs.add(job.id, now)
                if job.accepted_ms >= since_ms:
                    self._scheduler.note_past_job(job)
                continue
            self._scheduler.add_job(job, progress, now)
            if job.id in job_table.cancelled:
                self._scheduler.cancel_job(job.id)
        for job_id in job_table.early_cancellations.account_by_id:
            self._early_cancellations.add(job_id, now)
        await self._writer.write_heartbeat()

    async def _read_topics(self, tail: TopicTail) -> bool:
        """Read all topics, and store heartbeats meanwhile; return if all were read."""
        views = self._views
        reads = (
            (views.operator_tail, views.operator_tail.catch_up),
            (views.jobs_tail, views.jobs_tail.catch_up),
            (views.progress_tail, views.catch_up_progress),
            (tail, tail.catch_up),
        )
        task = asyncio.get_running_loop().create_task(read_topics(reads, self._log))
        self._start_task(self._store_heartbeats(task))
        return await task

    async def _store_heartbeats(self, reads: "asyncio.Task[bool]") -> None:
        while not reads.done():
            await self._writer.write_heartbeat()
            await asyncio.wait((reads,), timeout=MAX_IDLE_SECONDS)

    async def _run_round(self) -> None:
        self._round_watch.enter("changes")
        self._apply_changes()
        if self._views.state_readers and not self._writer.states.is_active:
            self._writer.states.activate(self._recorded_states())
        now = boot_seconds()
        self._shorten_lease_bound()
        self._scheduler.remove_unlisted(now)
        self._scheduler.expire_unreachable(now)
        for upstream_id in self._scheduler.state.upstreams:
            self._ensure_poller(upstream_id)
        self._round_watch.enter("plan")
        for stop in self._scheduler.plan_stops(now):
            self._start_task(self._order_sender.send_stop(stop))
        for pace in self._scheduler.pop_pace_orders():
            self._start_task(self._order_sender.send_pace(pace))
        # No zone has an empty name, so that only the age of the view counts here.
        self._scheduler.set_evacuation(
            self._views.evacuated_zones, self._start_window("") > 0.0
        )
        starts = self._scheduler.plan_starts(now, unix_ms())
        if self._scheduler.state.has_more_starts:
            self._wake.set()
        for upstream_id in self._scheduler.upstreams_to_check(now):
            if upstream_id in self._pollers:
                self._start_task(self._check(self._pollers[upstream_id], upstream_id))
        for request in self._scheduler.pop_advice_requests():
            self._start_task(self._order_sender.request_advice(request))
        changed_progress = self._scheduler.pop_dirty_progress()
        waves, self._instance_manager.unrecorded_waves = (
            self._instance_manager.unrecorded_waves,
            set(),
        )
        hosts = self._instance_manager.pop_unrecorded_hosts()
        applied_ends = self._scheduler.applied_ends()
        log_events(self._log, self._scheduler.pop_events())
        self._round_watch.enter("record")
        if changed_progress or waves or hosts:
            await self._record_progress(changed_progress, waves, hosts)
        else:
            await self._writer.write_heartbeat()
        self._scheduler.progress_recorded()
        for upstream_id in self._scheduler.ends_recorded(applied_ends):
            if upstream_id in self._pollers:
                self._pollers[upstream_id].ends_recorded.set()
        for job_id in self._scheduler.remove_ended_jobs():
            self._ended_jobs.add(job_id, now)
        self._round_watch.enter("orders")
        for start in starts:
            self._start_task(self._order_sender.send_start(start))
        self._set_account_metrics(now)
        self._check_counts(now)

    def _shorten_lease_bound(self) -> None:
        """Apply what has been read since the takeover on the end of the last owner."""
        policy = make_policy(self._ownership.last_renewal_age(self._began_at))
        if self._scheduler.shorten_unknown_leases(
            policy.unknown_lease_seconds, policy.unlisted_grace_seconds
        ):
            self._log.info(
                "lease-bound-shortened",
                epoch=self._epoch,
                unknown_lease_seconds=policy.unknown_lease_seconds,
            )

    def _set_account_metrics(self, now: float) -> None:
        if now - self._metrics_set_at >= METRICS_INTERVAL_SECONDS:
            self._metrics_set_at = now
            standings = self._scheduler.state.standings
            self._log.metrics.set_account_cores(
                standings.running_cores(), standings.waiting_cores()
            )

    def _check_counts(self, now: float) -> None:
        if now - self._counts_checked_at >= COUNT_CHECK_INTERVAL_SECONDS:
            self._counts_checked_at = now
            self._log.metrics.miscounts.inc(self._scheduler.check_counts())

    async def _record_progress(
        self,
        progress_by_job: dict[str, JobProgress],
        waves: set[int],
        hosts: dict[str, Host],
    ) -> None:
        values: dict[str, bytes | None] = {}
        # What is published is what the records say: jobs and waves may go on while
        # they are written.
        state_by_id: dict[str, JobState] = {}
        is_complete_by_wave: dict[int, bool] = {}
        for job_id, progress in progress_by_job.items():
            try:
                values[job_id] = encode_progress(progress, self._max_progress_bytes)
                state_by_id[job_id] = progress.state
            except Exception as error:
                # All other records can be stored.
                self._scheduler.state.set_apart(job_id, error)
        for number in waves:
            wave_progress = self._instance_manager.progress_by_wave[number]
            is_complete_by_wave[number] = wave_progress.is_complete
            values[f"{WAVE_PROGRESS_PREFIX}{number}"] = encode_wave_progress(
                wave_progress
            )
        # After the progress: that an upstream crashed can be found out again only while
        # the record names it as the latest of its instance.
        for instance, host in hosts.items():
            values[f"{HOST_PREFIX}{instance}"] = encode_host(host)
        await self._writer.write(values)
        self._writer.states.publish(state_by_id)
        for number, is_complete in is_complete_by_wave.items():
            self._writer.wave_statuses.publish(number, is_complete)

    def _recorded_states(self) -> dict[str, JobState]:
        return {
            job_id: progress.state
            for job_id, progress in self._views.job_table.progress_by_id.items()
        }

    async def _wait_for_wake(self) -> None:
        try:
            async with asyncio.timeout(MAX_IDLE_SECONDS):
                await self._wake.wait()
        except TimeoutError:
            pass
        self._wake.clear()

    def _apply_changes(self) -> None:
        self._apply_configuration()
        job_ids, self._changed_job_ids = self._changed_job_ids, []
        now = boot_seconds()
        job_table = self._views.job_table
        for job_id in job_ids:
            job = job_table.jobs_by_id.get(job_id)
            progress = job_table.progress_by_id.get(job_id)
            if job is None and job_id in job_table.cancelled:
                self._early_cancellations.add(job_id, now)
            # The view may lag behind this owner's latest records.
            if job is None or job_id in self._ended_jobs:
                continue
            if progress and progress.state.is_final():
                continue
            self._scheduler.add_job(job, progress, now)
            if job_id in job_table.cancelled:
                self._scheduler.cancel_job(job_id)

    def _apply_configuration(self) -> None:
        configuration = self._views.configuration
        if configuration is not None:
            self._scheduler.set_configuration(configuration)

    def _on_change(self, job_id: str) -> None:
        if job_id:
            self._changed_job_ids.append(job_id)
        self._wake.set()

    def _on_upstream(self, record: KeyedRecord) -> None:
        now = boot_seconds()
        if record.value is None:
            self._scheduler.upstream_unlisted(record.key)
            self._log.info("upstream-unlisted", upstream=record.key)
        else:
            try:
                entry = decode_upstream_entry(record.key, record.value)
            except msgspec.DecodeError as error:
                self._log.info("entry-skipped", key=record.key, reason=str(error))
                self._scheduler.upstream_unlisted(record.key)
                return
            self._log_capacity(entry)
            self._scheduler.upstream_listed(entry, now)
        self._wake.set()

    def _log_capacity(self, entry: UpstreamEntry) -> None:
        known = self._scheduler.state.upstreams.get(entry.id)
        if known is not None and known.entry.capacity != entry.capacity:
            self._log.info(
                "capacity-changed",
                upstream=entry.id,
                capacity=asdict(entry.capacity),
                used=asdict(known.used),
                reason=f"was {known.entry.capacity}",
            )

    def _ensure_poller(self, upstream_id: str) -> None:
        if upstream_id in self._pollers:
            return
        poller = UpstreamPoller(
            upstream_id,
            self._epoch,
            self._scheduler,
            self._orders,
            self._log,
            self._wake.set,
            self._may_order,
            self._lease_record,
        )
        self._pollers[upstream_id] = poller
        self._start_task(self._run_poller(poller, upstream_id))

    def _start_window(self, zone: str) -> float:
        return start_window_seconds(
            zone,
            self._views.evacuated_zones,
            self._views.operator_tail.age(),
            self._evacuation_seconds,
        )

    async def _report_to_watchers(self) -> None:
        while self._ownership.epoch == self._epoch:
            now = boot_seconds()
            message = OwnerMessage(
                self._epoch,
                self._ownership.holder,
                self._ownership.confirmation_age(now),
                self._writer.failing_for(),
            )
            await self._send_message(message)
            await asyncio.sleep(MESSAGE_INTERVAL_SECONDS)

    async def _update_lease_record(self) -> None:
        """Store heartbeats at once by which leases may be granted again."""
        while True:
            await self._lease_record.is_wanted.wait()
            self._lease_record.is_wanted.clear()
            await self._writer.write_heartbeat()

    def _log_unanswered(self, upstream_id: str, order: str, reason: str) -> None:
        self._log.write(
            Decision(
                "order-unanswered", upstream=upstream_id, reason=f"{order}: {reason}"
            )
        )

    def _may_order(self, seconds: float) -> bool:
        return self._ownership.holds(self._epoch, seconds)

    async def _run_poller(self, poller: UpstreamPoller, upstream_id: str) -> None:
        try:
            await poller.run()
        finally:
            self._pollers.pop(upstream_id, None)

    async def _check(self, poller: UpstreamPoller, upstream_id: str) -> None:
        async with self._channels.take(upstream_id, OrderKind.CHECK) as orders:
            if orders is not None:
                await poller.check(orders)

    def _start_task(self, work: Coroutine[None, None, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)

    def _on_task_done(self, task: "asyncio.Task[None]") -> None:
        self._tasks.discard(task)
        if task.cancelled():
            return
        error = task.exception()
        if error is None:
            return
        if isinstance(error, OWNERSHIP_ERRORS):
            if not self._failure.done():
                self._failure.set_exception(error)
        elif isinstance(error, Exception):
            # An order is repeated when its response is overdue.
            self._log.error("order-failed", error)
