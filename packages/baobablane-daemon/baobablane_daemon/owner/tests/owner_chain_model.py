"""Run owners one after the other in virtual time, on upstreams that grant leases."""

import asyncio
import io
import json
from collections import defaultdict
from contextlib import asynccontextmanager
from types import MappingProxyType, SimpleNamespace
from unittest import mock

from baobablane.deployment import PlatformLimits
from baobablane.jobs import encode_job
from baobablane.scheduling import RenewalReport, RunningTask, StartResult
from baobablane.scheduling.tests.fleet_model import (
    make_configuration,
    make_job,
    make_step,
)
from baobablane_platform import (
    UPSTREAM_TOPIC,
    InstanceListError,
    ProcessSettings,
    StoreFencedError,
    StoreOffsetMismatchError,
    StoreRejectedError,
    UpstreamFencedError,
    UpstreamUnreachableError,
)

from baobablane_daemon.decision_log import DecisionLog
from baobablane_daemon.jobs import (
    JOBS_TOPIC,
    JobWriter,
    Views,
    boot_seconds,
    make_holder,
    register_peer,
)
from baobablane_daemon.owner import Ownership
from baobablane_daemon.owner._owner import Owner

from ...jobs.tests.scripted_store import ScriptedStore
from ...jobs.tests.virtual_time import run_in_virtual_time
from .owner_model import UPSTREAM

UNIX_CLOCK = "baobablane_daemon.jobs._clock.time.time"
CALL_SECONDS = 0.01
CALL_TIMEOUT_SECONDS = 0.5
ORDER_TIMEOUT_SECONDS = 1.0


class Reach:
    """Name how the calls of an instance arrive at an upstream or at the store."""

    WELL = "well"
    # Calls are carried out, and their responses are lost.
    NO_RESPONSES = "no responses"
    # Nothing arrives.
    DARK = "dark"
    # Nothing arrives, and that is known at once.
    RESET = "reset"


class LeasedUpstream:
    """Run tasks until their common lease expires."""

    def __init__(self, name, clock_rate=1.0):
        """Start without runs."""
        self.name = name
        self.incarnation = 7
        self._clock_rate = clock_rate
        self.reach = Reach.WELL
        self.run_by_task = {}
        self._deadline_ms = 0
        self._token = 0

    def running(self):
        """Return the runs by task, without those whose lease has expired."""
        if self.clock_ms() > self._deadline_ms:
            self.run_by_task.clear()
        return self.run_by_task

    def clock_ms(self):
        """Return what its clock shows."""
        return round(1000 * boot_seconds() * self._clock_rate)

    def lapsed_by(self):
        """Return when its lease expires, or did."""
        return self._deadline_ms / 1000 / self._clock_rate

    def entry_record(self):
        """Return the entry by which it is listed."""
        return json.dumps({**UPSTREAM, "born": self.incarnation}).encode()

    def apply(self, token, deadline_ms):
        """Take a call's fencing token, and the lease deadline on this clock."""
        if token < self._token:
            raise UpstreamFencedError(self.name)
        self._token = token
        self.running()
        if deadline_ms is not None:
            self._deadline_ms = max(self._deadline_ms, deadline_ms)


class OrderClient:
    """Carry one owner's calls to the upstreams, as each of them can be reached."""

    def __init__(self, chain, reach_by_upstream):
        """Call the upstreams of a chain; `reach_by_upstream` goes before their own."""
        self._chain = chain
        self._reach_by_upstream = reach_by_upstream

    async def _call(self, entry, seconds, carry_out):
        upstream = self._chain.upstreams[entry.id]
        reach = self._reach_by_upstream.get(entry.id, upstream.reach)
        await asyncio.sleep(CALL_SECONDS / 2)
        is_carried_out = reach in (Reach.WELL, Reach.NO_RESPONSES)
        result = await carry_out(upstream) if is_carried_out else None
        if reach != Reach.WELL:
            await asyncio.sleep(CALL_SECONDS if reach == Reach.RESET else seconds)
            raise UpstreamUnreachableError(f"{entry.id}: no response")
        await asyncio.sleep(CALL_SECONDS / 2)
        return result

    async def renew_leases(self, entry, token, deadline_ms, recorded_end, wait_ms):
        """Renew the leases, and report the runs after the wait."""

        async def carry_out(upstream):
            upstream.apply(token, deadline_ms)
            await asyncio.sleep(wait_ms / 1000)
            running = [
                RunningTask(task, run, "", 100)
                for task, run in upstream.running().items()
            ]
            return RenewalReport(
                upstream.incarnation, upstream.clock_ms(), tuple(running), ()
            )

        return await self._call(entry, CALL_TIMEOUT_SECONDS, carry_out)

    async def read_runs(self, entry, token):
        """Report the runs without a renewal."""
        return await self.renew_leases(entry, token, None, 0, 0)

    async def start(self, entry, order, token, deadline_ms):
        """Start a run."""

        async def carry_out(upstream):
            upstream.apply(token, deadline_ms)
            self._chain.note_start(upstream, order)
            upstream.running()[order.task] = order.run
            return StartResult.STARTED

        try:
            return await self._call(entry, ORDER_TIMEOUT_SECONDS, carry_out)
        except UpstreamUnreachableError:
            return StartResult.UNKNOWN

    async def stop(self, entry, order, token):
        """Stop a run."""

        async def carry_out(upstream):
            upstream.apply(token, None)
            if upstream.running().get(order.task, order.run + 1) <= order.run:
                del upstream.run_by_task[order.task]
            return True

        try:
            return await self._call(entry, ORDER_TIMEOUT_SECONDS, carry_out)
        except UpstreamUnreachableError:
            return False

    async def set_pace(self, entry, order, token):
        """Accept a pace."""
        return True

    async def close_renewals(self, upstream_id):
        """Close nothing."""

    async def close(self):
        """Close nothing."""


class StoreLink:
    """Reach the store as one instance, until it is cut off."""

    def __init__(self, store):
        """Reach the store."""
        self._store = store
        self.is_cut = False

    def _check(self):
        if self.is_cut:
            raise StoreRejectedError("cut off")

    async def read(self, topic, partition, start, wait_ms, on_data):
        """Return the records from an offset on."""
        self._check()
        return await self._store.read(topic, partition, start, wait_ms, on_data)

    async def read_newest(self, topic, partition, after, on_data):
        """Return the newest record of each key."""
        self._check()
        return await self._store.read_newest(topic, partition, after, on_data)

    async def append(
        self, topic, partition, records, producer=None, timeout=2.5, expected_end=None
    ):
        """Store records, unless a later epoch has been seen."""
        await asyncio.sleep(CALL_SECONDS)
        self._check()
        stored = self._store.records_by_topic[topic]
        if expected_end is not None and expected_end != len(stored):
            raise StoreOffsetMismatchError(f"end {len(stored)}")
        if producer is not None:
            newest = self._store.epoch_by_topic[topic]
            if producer.epoch < newest:
                raise StoreFencedError(f"epoch {newest}")
            self._store.epoch_by_topic[topic] = producer.epoch
        stored += records


class _Process:
    """Hold an entry instance that owns, and what it works with."""

    def __init__(self, chain, instance):
        self.reach_by_upstream = {}
        self.output = io.BytesIO()
        self.log = DecisionLog(instance, self.output)
        self.store = StoreLink(chain.store)
        self.views = Views(self.store, self.log)
        self.views.configuration = make_configuration()
        candidacy = SimpleNamespace(should_claim=lambda now: False, needs_read=False)
        holder = make_holder(instance, round(boot_seconds() * 1e9))
        self.ownership = Ownership(
            self.store, self.views, self.log, holder, True, candidacy
        )
        self.tasks = []

    async def own(self, chain):
        """Claim, and run the owner."""
        await self.views.catch_up()
        await self.ownership._claim(boot_seconds())
        assert self.ownership.epoch is not None
        settings = ProcessSettings(
            self.ownership.instance, "zone", "", "", "", "", "", PlatformLimits()
        )
        orders = OrderClient(chain, self.reach_by_upstream)
        target = "baobablane_daemon.owner._owner.UpstreamOrderClient"
        with mock.patch(target, lambda *args: orders):
            owner = Owner(
                self.store,
                self.views,
                self.ownership,
                self.log,
                settings,
                self.ownership.epoch,
                _send_to_nobody,
            )
        owner._instance_client.list_instances = _fail_to_list
        self.owner = owner
        self.tasks = [
            asyncio.create_task(self.views.run()),
            asyncio.create_task(self.ownership.run()),
            asyncio.create_task(owner.run()),
            asyncio.create_task(self.register()),
        ]

    async def bystand(self):
        """Follow the store without a claim, and register."""
        await self.views.catch_up()
        self.tasks = [
            asyncio.create_task(self.views.run()),
            asyncio.create_task(self.register()),
        ]

    async def register(self):
        """Tell the other instances of this process."""
        writer = JobWriter(self.store)
        self.views.on_job_read = writer.confirm_stored
        appending = asyncio.create_task(writer.run())
        try:
            await register_peer(self.ownership.holder, "", self.views, writer, self.log)
        finally:
            appending.cancel()

    async def kill(self):
        """End at once."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def stop(self):
        """End as planned, and announce that."""
        self.tasks[1].cancel()
        self.ownership.stop()
        await asyncio.wait(self.tasks[2:3])
        await self.kill()


class OwnerChain:
    """Hold a store, upstreams, and the processes that own one after the other."""

    def __init__(self, upstream_count, clock_rate):
        """Start without an owner."""
        self.store = ScriptedStore()
        self.store.epoch_by_topic = defaultdict(int)
        self.upstreams = {
            f"u{number}": LeasedUpstream(f"u{number}", clock_rate)
            for number in range(upstream_count)
        }
        for name, upstream in self.upstreams.items():
            self.store.put(UPSTREAM_TOPIC, name, upstream.entry_record())
        self.processes = []
        # Time, upstream and task of each start that was carried out.
        self.starts = []
        # Starts of a task that ran elsewhere.
        self.double_runs = []

    def put_long_running_job(self, job_id, tasks=1):
        """Store a job whose tasks run until they are stopped."""
        step = make_step(tasks, is_lasting=True, may_miss=1)
        self.store.put(JOBS_TOPIC, job_id, encode_job(make_job(step, name=job_id)))

    def note_start(self, upstream, order):
        """Note a start, and where its task runs by then."""
        self.starts.append((boot_seconds(), upstream.name, order.task))
        self.double_runs += [
            (boot_seconds(), order.task, other.name, upstream.name)
            for other in self.upstreams.values()
            if other is not upstream and order.task in other.running()
        ]

    async def begin_owner(self, instance, reach_by_upstream=MappingProxyType({})):
        """Let a new process of an instance become the owner.

        Its predecessor on that instance has ended.
        """
        process = await self._replace_process(instance)
        process.reach_by_upstream.update(reach_by_upstream)
        await process.own(self)
        return process

    async def begin_bystander(self, instance):
        """Let a new process of an instance start that doesn't claim."""
        await (await self._replace_process(instance)).bystand()

    async def _replace_process(self, instance):
        for earlier in self.processes:
            if earlier.ownership.instance == instance:
                await earlier.kill()
        process = _Process(self, instance)
        self.processes.append(process)
        return process

    def place_of(self, task):
        """Return the name of the upstream that runs a task, or None."""
        names = [u.name for u in self.upstreams.values() if task in u.running()]
        return names[0] if names else None

    async def time_without_run(self, task, max_seconds):
        """Return for how long a task that ran last now has no run, up to a maximum."""
        began_at = boot_seconds()
        while self.place_of(task) is None and boot_seconds() - began_at < max_seconds:
            await asyncio.sleep(0.05)
        return boot_seconds() - began_at


@asynccontextmanager
async def run_chain(upstream_count=2, clock_rate=1.0):
    """Yield a chain; end all of its processes after that."""
    chain = OwnerChain(upstream_count, clock_rate)
    try:
        yield chain
    finally:
        for process in chain.processes:
            await process.kill()


async def _fail_to_list():
    raise InstanceListError("no instances")


async def _send_to_nobody(message):
    pass


def run_with_clocks(coroutine, step=None):
    """Run a coroutine in virtual time, which Unix time follows.

    `step` is called for by how much the Unix clock has been stepped.
    """
    step = step or (lambda: 0.0)
    with mock.patch(UNIX_CLOCK, lambda: boot_seconds() + step()):
        return run_in_virtual_time(coroutine)
