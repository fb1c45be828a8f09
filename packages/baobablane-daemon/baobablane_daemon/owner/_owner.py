"""Own the placement of all tasks while the store names this process the owner."""

import asyncio
from collections.abc import Awaitable, Callable, Coroutine

import msgspec
from baobablane.jobs import JobProgress, encode_progress
from baobablane.maintenance import encode_wave_progress
from baobablane.scheduling import (
    Scheduler,
    SchedulingBounds,
)
from baobablane_platform import (
    UPSTREAM_TOPIC,
    InstanceClient,
    KeyedRecord,
    ProcessSettings,
    StoreClient,
    StoreError,
    StoreFencedError,
    StoreSequenceError,
    UpstreamFencedError,
    UpstreamOrders,
    decode_upstream_entry,
)

from ..jobs import (
    WAVE_PREFIX,
    TopicTail,
    Views,
    boot_seconds,
    unix_ms,
)
from ..tasks import DecisionLog
from ._candidacy import is_large
from ._ended_jobs import EndedJobs
from ._event_log import log_events
from ._instances_task import InstancesTask
from ._job_dropper import JobDropper
from ._order_sender import OrderSender
from ._ownership import Ownership
from ._progress_writer import ProgressWriter
from ._upstream_watch import UpstreamWatch

# Due times and lapsed leases are looked at this often when nothing else happens.
TICK_SECONDS = 0.1
TAKE_OVER_RETRY_SECONDS = 0.1


class Owner:
    """Own the scheduler from a take-over until the ownership ends."""

    def __init__(
        self,
        store: StoreClient,
        views: Views,
        ownership: Ownership,
        log: DecisionLog,
        settings: ProcessSettings,
        epoch: int,
    ) -> None:
        """Act under an epoch, which is also the fencing token of all orders."""
        self._store = store
        self._views = views
        self._ownership = ownership
        self._log = log
        self._epoch = epoch
        self._scheduler = Scheduler(SchedulingBounds())
        self._writer = ProgressWriter(
            store, epoch, ownership.holder, is_large(settings), ownership.confirm
        )
        self._orders = UpstreamOrders()
        self._watches: dict[str, UpstreamWatch] = {}
        self._wake = asyncio.Event()
        self._sender = OrderSender(
            self._scheduler,
            self._watches,
            self._orders,
            settings.advisor_address,
            log,
            epoch,
            self._wake.set,
        )
        self._instance_client = InstanceClient(
            settings.instance_list_address, settings.instance
        )
        self._instances = InstancesTask(
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
        self._changed_jobs: list[str] = []
        self._ended_jobs = EndedJobs(settings.limits.state_retention_seconds)
        self._dropper = JobDropper(store, self._writer, self._ended_jobs, log)
        self._tasks: set[asyncio.Task[None]] = set()
        self._failure: asyncio.Future[None] = asyncio.get_running_loop().create_future()

    async def run(self) -> None:
        """Place tasks until the ownership ends or is taken away."""
        try:
            await self._take_over()
            while self._ownership.epoch == self._epoch:
                await self._round()
                await self._wait()
            if self._ownership.is_stopping:
                await self._writer.show_leaving()
        except (StoreFencedError, StoreSequenceError, UpstreamFencedError) as error:
            self._ownership.give_up(f"fenced: {error}")
        finally:
            self._views.on_change = lambda job_id: None
            self._views.follow_closely(False)
            for task in self._tasks:
                task.cancel()
            await asyncio.gather(*self._tasks, return_exceptions=True)
            failure = self._failure.exception() if self._failure.done() else None
            if failure is not None:
                self._log.info("owner-failed", epoch=self._epoch, reason=repr(failure))
            await self._orders.close()
            await self._instance_client.close()
            await self._sender.close()

    async def _take_over(self) -> None:
        tail = TopicTail(self._store, self._log, UPSTREAM_TOPIC, self._on_upstream)
        # The claim was stored, so no earlier owner adds to what is read.
        await asyncio.gather(
            self._catch_up(self._views.catch_up), self._catch_up(tail.catch_up)
        )
        self._views.on_change = self._on_change
        self._views.follow_closely(True)
        self._apply_configuration()
        now = boot_seconds()
        table = self._views.table
        for job in table.jobs_by_id.values():
            progress = table.progress_by_id.get(job.id)
            if progress is not None and progress.state.is_final():
                self._ended_jobs.add(job.id, now)
                continue
            self._scheduler.add_job(job, progress, now)
            if job.id in table.cancelled:
                self._scheduler.cancel_job(job.id)
        self._log.info(
            "taken-over",
            epoch=self._epoch,
            jobs=len(self._scheduler.state.jobs),
            upstreams=len(self._scheduler.state.upstreams),
        )
        self._instances.take_over()
        self._start(tail.run())
        self._start(self._instances.run())

    async def _catch_up(self, read: Callable[[], Awaitable[None]]) -> None:
        while True:
            try:
                await read()
                return
            except StoreError as error:
                self._log.info("take-over-waits", reason=str(error))
                await asyncio.sleep(TAKE_OVER_RETRY_SECONDS)

    async def _round(self) -> None:
        self._take_changes()
        now = boot_seconds()
        self._scheduler.expire_unlisted(now)
        self._scheduler.expire_silent(now)
        for upstream_id in self._scheduler.state.upstreams:
            self._watch(upstream_id)
        for stop in self._scheduler.stops(now):
            self._start(self._sender.send_stop(stop))
        for pace in self._scheduler.take_paces():
            self._start(self._sender.send_pace(pace))
        starts = self._scheduler.plan(now, unix_ms())
        for request in self._scheduler.take_advice_requests():
            self._start(self._sender.ask_advice(request))
        changed = self._scheduler.take_dirty()
        waves, self._instances.dirty = self._instances.dirty, set()
        applied = self._scheduler.applied_ends()
        log_events(self._log, self._scheduler.take_events())
        if changed or waves:
            await self._record(changed, waves)
        else:
            await self._writer.beat()
        for upstream_id in self._scheduler.ends_recorded(applied):
            if upstream_id in self._watches:
                self._watches[upstream_id].recorded.set()
        for job_id in self._scheduler.retire():
            self._ended_jobs.add(job_id, now)
        await self._dropper.drop(now)
        for start in starts:
            self._start(self._sender.send_start(start))

    async def _record(
        self, progress_by_job: dict[str, JobProgress], waves: set[int]
    ) -> None:
        values: dict[str, bytes | None] = {
            job_id: encode_progress(progress)
            for job_id, progress in progress_by_job.items()
        }
        progress_by_wave = self._instances.progress_by_wave
        for number in waves:
            values[f"{WAVE_PREFIX}{number}"] = encode_wave_progress(
                progress_by_wave[number]
            )
        await self._writer.write(values)
        for number in waves:
            await self._writer.write_wave_status(
                number, progress_by_wave[number].is_complete
            )

    async def _wait(self) -> None:
        try:
            async with asyncio.timeout(TICK_SECONDS):
                await self._wake.wait()
        except TimeoutError:
            pass
        self._wake.clear()
        if self._failure.done():
            self._failure.result()

    def _take_changes(self) -> None:
        self._apply_configuration()
        jobs, self._changed_jobs = self._changed_jobs, []
        now = boot_seconds()
        table = self._views.table
        for job_id in jobs:
            job = table.jobs_by_id.get(job_id)
            progress = table.progress_by_id.get(job_id)
            # The view may not show yet what this owner recorded last.
            if job is None or job_id in self._ended_jobs:
                continue
            if progress and progress.state.is_final():
                continue
            self._scheduler.add_job(job, progress, now)
            if job_id in table.cancelled:
                self._scheduler.cancel_job(job_id)

    def _apply_configuration(self) -> None:
        configuration = self._views.configuration
        if configuration is not None:
            self._scheduler.set_configuration(configuration)

    def _on_change(self, job_id: str) -> None:
        if job_id:
            self._changed_jobs.append(job_id)
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
                return
            self._scheduler.upstream_listed(entry, now)
        self._wake.set()

    def _watch(self, upstream_id: str) -> None:
        if upstream_id in self._watches:
            return
        watch = UpstreamWatch(
            upstream_id,
            self._epoch,
            self._scheduler,
            self._orders,
            self._log,
            self._wake.set,
        )
        self._watches[upstream_id] = watch
        self._start(self._run_watch(watch, upstream_id))

    async def _run_watch(self, watch: UpstreamWatch, upstream_id: str) -> None:
        try:
            await watch.run()
        finally:
            self._watches.pop(upstream_id, None)

    def _start(self, work: Coroutine[None, None, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)

    def _on_task_done(self, task: "asyncio.Task[None]") -> None:
        self._tasks.discard(task)
        if task.cancelled():
            return
        error = task.exception()
        if error is not None and not self._failure.done():
            self._failure.set_exception(error)
            self._wake.set()
