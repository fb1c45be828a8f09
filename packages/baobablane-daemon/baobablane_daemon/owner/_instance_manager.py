"""Move the platform's instances between pools and order their maintenance."""

import asyncio
from collections.abc import Callable, Mapping

from baobablane.crashes import Host, HostTable
from baobablane.deployment import Configuration, Instance, InstanceState
from baobablane.maintenance import (
    MaintenanceOrder,
    MaintenancePlan,
    WaveProgress,
    plan_maintenance,
)
from baobablane.scheduling import Scheduler
from baobablane.sizing import (
    Arrival,
    BurstStarts,
    MoveOrder,
    PoolSizing,
    encode_burst_starts,
    plan_moves,
)
from baobablane_platform import (
    InstanceClient,
    InstanceListError,
    InstanceOrderResult,
    StoreFencedError,
    StoreSequenceError,
)

from ..decision_log import DecisionLog
from ..jobs import (
    BURST_STARTS_KEY,
    INSTANCE_ORDER_PREFIX,
    InstanceOrderRecord,
    Views,
    boot_seconds,
    encode_order_record,
    unix_ms,
)
from ._ownership import (
    MAX_CLOCK_DIFFERENCE_SECONDS,
    MAX_CONFIRMATION_AGE_SECONDS,
    Ownership,
)
from ._progress_writer import ProgressWriter
from ._zone_evacuation import ZoneEvacuation

LIST_INTERVAL_SECONDS = 0.25
# Maximum time from the record of an order to its arrival: the maximum age of the
# confirmation bounds the append of the record, and a timeout bounds the call.
MAX_ORDER_DELAY_SECONDS = 1.5


class InstanceManager:
    """Plan, record and send one owner's orders for instances."""

    def __init__(
        self,
        client: InstanceClient,
        views: Views,
        scheduler: Scheduler,
        ownership: Ownership,
        log: DecisionLog,
        epoch: int,
        order_lease_seconds: float,
        writer: ProgressWriter,
        on_change: Callable[[], None],
    ) -> None:
        """Start without orders; `take_over` must be called before `run`."""
        self._client = client
        self._views = views
        self._scheduler = scheduler
        self._ownership = ownership
        self._log = log
        self._epoch = epoch
        self._on_change = on_change
        self._order_lease_seconds = order_lease_seconds
        self._writer = writer
        # Monotonic times in seconds until which an instance gets no order, since an
        # earlier owner's order for it may still be in force.
        self._reserved_until: dict[str, float] = {}
        # Until when an earlier owner's latest order for an instance may still arrive.
        self._may_arrive_until: dict[str, float] = {}
        self._instances: list[Instance] = []
        # Instance and wave of each maintenance order that still waits for its response.
        # These instances count as unavailable.
        self._in_flight: set[tuple[str, int]] = set()
        # Unknown states in the latest list, by instance; each is logged once.
        self._unknown_states: dict[str, str] = {}
        self._hosts = HostTable({})
        # Time of the latest order for each instance, in Unix milliseconds.
        self._ordered_ms: dict[str, int] = {}
        self._sizing = PoolSizing()
        self._evacuation = ZoneEvacuation(views, scheduler, log)
        self._is_history_restored = False
        self._recorded_burst_starts: BurstStarts = []
        self.progress_by_wave: dict[int, WaveProgress] = {}
        # Waves whose progress is not recorded yet.
        self.unrecorded_waves: set[int] = set()

    def take_over(self) -> None:
        """Restore the burst starts and reserve instances with recent orders."""
        self._sizing.forecast.restore(self._views.burst_starts)
        self._hosts = HostTable(self._views.host_by_instance)
        now = boot_seconds()
        for instance, order in self._views.order_by_instance.items():
            self._ordered_ms[instance] = order.at_ms
            arrives_within = MAX_ORDER_DELAY_SECONDS
            lease_seconds = 0.0
            if order.sender != self._ownership.instance:
                arrives_within += MAX_CLOCK_DIFFERENCE_SECONDS
                # The platform's minimum applies between two holders of an instance.
                lease_seconds = self._order_lease_seconds
            age = max(0.0, (unix_ms() - order.at_ms) / 1000)
            self._may_arrive_until[instance] = now + arrives_within - age
            self._reserved_until[instance] = now + arrives_within + lease_seconds - age

    def instances(self) -> list[Instance]:
        """Return the instances as last listed."""
        return self._instances

    def _is_ordered(self, instance: str, wave: int) -> bool:
        """Return whether an order may still be carried out for an instance.

        An earlier owner may have sent its latest one for any wave.
        """
        return (instance, wave) in self._in_flight or (
            boot_seconds() < self._may_arrive_until.get(instance, 0.0)
        )

    def _is_reserved(self, instance: str) -> bool:
        return boot_seconds() < self._reserved_until.get(instance, 0.0)

    async def run(self) -> None:
        """Plan and send orders until cancelled."""
        while True:
            try:
                await self._run_round()
            except (StoreFencedError, StoreSequenceError):
                raise
            except Exception as error:
                self._log.error("instances-unplanned", error)
            await asyncio.sleep(LIST_INTERVAL_SECONDS)

    def _add_new_waves(self) -> None:
        for number, wave in self._views.waves.items():
            if number in self.progress_by_wave:
                continue
            recorded = self._views.progress_by_wave.get(number)
            if recorded is None:
                due_ms = unix_ms() + round(wave.duration_seconds * 1000)
                recorded = WaveProgress([], due_ms)
            self.progress_by_wave[number] = recorded
            self.unrecorded_waves.add(number)

    async def _run_round(self) -> None:
        await self._record_burst_starts()
        requested_at = boot_seconds()
        before = {instance.id: instance for instance in self._instances}
        try:
            self._instances = await self._client.list_instances()
        except InstanceListError as error:
            self._log.info("instance-list-unread", reason=str(error))
            self._evacuate(set())
            return
        self._log_unknown_states()
        self._log_changes(before)
        self._apply_hosts(requested_at)
        # A wave may have been added while the list was requested.
        self._add_new_waves()
        plan = plan_maintenance(
            list(self._views.waves.values()),
            self.progress_by_wave,
            self._instances,
            self._scheduler.fleet,
            unix_ms(),
            self._is_ordered,
        )
        plan.orders = [o for o in plan.orders if not self._is_reserved(o.instance)]
        moves = self._plan_moves(plan)
        # Nothing may be awaited between the plan and the cordon: a task that starts on
        # an upstream in between would end with it, beyond its step's allowance.
        moving = {move.upstream for move in moves if move.upstream}
        self._scheduler.fleet.cordon(plan.cordoned_upstreams | moving)
        for number in plan.completed_waves:
            self.progress_by_wave[number].is_complete = True
            self.unrecorded_waves.add(number)
        for eviction in plan.evictions:
            self._scheduler.fleet.evict(eviction)
        self._evacuate({order.upstream for order in plan.orders})
        self._on_change()
        if not (plan.orders or moves):
            return
        if await self._record_orders(plan, moves):
            await asyncio.gather(
                *(self._send_maintenance(order) for order in plan.orders),
                *(self._send_move(move) for move in moves),
            )

    def _evacuate(self, ending_upstreams: set[str]) -> None:
        zones = {instance.zone for instance in self._instances}
        self._evacuation.run_round(zones, ending_upstreams, boot_seconds())

    def _log_unknown_states(self) -> None:
        unknown = dict(self._client.unknown_states_by_instance)
        for instance, state in unknown.items():
            if self._unknown_states.get(instance) != state:
                self._log.info("instance-state-unknown", target=instance, state=state)
        self._unknown_states = unknown

    def _apply_hosts(self, requested_at: float) -> None:
        changes = self._hosts.apply(
            self._instances,
            self._ordered_ms,
            self._scheduler.draining_upstreams(),
            unix_ms(),
        )
        self._scheduler.instances_listed(
            changes, self._hosts.instance_by_upstream(), requested_at, boot_seconds()
        )

    def pop_unrecorded_hosts(self) -> dict[str, Host]:
        """Return the upstreams of instances that changed since the previous call."""
        return self._hosts.pop_unrecorded()

    def _log_changes(self, before: Mapping[str, Instance]) -> None:
        for instance in self._instances:
            previous = before.get(instance.id)
            if previous is not None and previous != instance:
                self._log.info(
                    "instance-changed",
                    target=instance.id,
                    pool=instance.pool,
                    state=instance.state.value,
                    upstream=instance.upstream,
                    capacity=instance.capacity.cpu_millis,
                    previous_pool=previous.pool,
                    previous_state=previous.state.value,
                    previous_upstream=previous.upstream,
                    previous_capacity=previous.capacity.cpu_millis,
                )

    async def _record_burst_starts(self) -> None:
        burst_starts = self._sizing.forecast.burst_starts()
        if burst_starts != self._recorded_burst_starts:
            await self._writer.write(
                {BURST_STARTS_KEY: encode_burst_starts(burst_starts)}
            )
            self._recorded_burst_starts = burst_starts

    async def _record_orders(
        self, plan: MaintenancePlan, moves: list[MoveOrder]
    ) -> bool:
        """Record orders; return False if that took so long that none may be sent."""
        instances = [order.instance for order in plan.orders]
        instances += [move.instance for move in moves]
        requested_at = boot_seconds()
        order = InstanceOrderRecord(unix_ms(), self._ownership.instance)
        record = encode_order_record(order)
        for instance in instances:
            self._ordered_ms[instance] = order.at_ms
        await self._writer.write(
            {f"{INSTANCE_ORDER_PREFIX}{i}": record for i in instances}
        )
        if boot_seconds() - requested_at < MAX_CONFIRMATION_AGE_SECONDS:
            return True
        self._log.info("orders-dropped", reason="recording the orders took too long")
        return False

    def _plan_moves(self, maintenance: MaintenancePlan) -> list[MoveOrder]:
        configuration = self._views.configuration
        if configuration is None:
            return []
        now = unix_ms() / 1000
        demands = self._scheduler.fleet.demand_by_pool(unix_ms())
        fleet_cores = sum(i.capacity.cpu_millis for i in self._instances) / 1000
        cores_per_pool = fleet_cores / max(1, len(configuration.pools_by_name))
        if not self._is_history_restored:
            self._is_history_restored = True
            arrivals = self._past_arrivals(configuration)
            self._sizing.restore(arrivals, demands, cores_per_pool, now)
        self._sizing.observe(demands, cores_per_pool, now)
        targets = {
            pool: self._sizing.target(pool, demand, now)
            for pool, demand in demands.items()
        }
        standby_pool = min(configuration.standby_pools(), default="")
        instances_under_order = {order.instance for order in maintenance.orders}
        instances_under_order |= {
            i.id for i in self._instances if self._is_reserved(i.id)
        }
        return plan_moves(
            targets,
            self._instances,
            self._scheduler.fleet.empty_upstreams() - maintenance.cordoned_upstreams,
            standby_pool,
            instances_under_order,
            maintenance.cordoned_upstreams,
            self._scheduler.unstable_pools(boot_seconds()),
            self._views.evacuated_zones,
        )

    def _past_arrivals(self, configuration: Configuration) -> list[Arrival]:
        arrivals: list[Arrival] = []
        for job in self._views.job_table.jobs_by_id.values():
            queue = configuration.queues_by_name.get(job.queue)
            pool = queue.pool if queue else job.pool
            arrivals.append(
                Arrival(job.accepted_ms / 1000, pool, job.declared_core_seconds())
            )
        return arrivals

    async def _send_move(self, order: MoveOrder) -> None:
        if not self._ownership.holds(self._epoch, MAX_CONFIRMATION_AGE_SECONDS):
            return
        self._scheduler.mark_ordered(order.upstream, True)
        result = await self._client.move(order.instance, order.pool, self._epoch)
        self._note_result(order, result)
        self._log.info(
            "move-ordered",
            instance=order.instance,
            pool=order.pool,
            upstream=order.upstream,
            result=result.name.lower(),
        )
        if result is InstanceOrderResult.DONE and order.upstream:
            self._scheduler.remove_upstream(order.upstream, "moved")
        elif result is InstanceOrderResult.UNKNOWN and order.upstream:
            self._scheduler.mark_unreachable(order.upstream)

    async def _send_maintenance(self, order: MaintenanceOrder) -> None:
        if not self._ownership.holds(self._epoch, MAX_CONFIRMATION_AGE_SECONDS):
            self._log.info("upkeep-waits", instance=order.instance)
            return
        key = (order.instance, order.wave)
        self._in_flight.add(key)
        self._scheduler.mark_ordered(order.upstream, True)
        try:
            result = await self._client.maintain(
                order.instance, order.wave, self._epoch
            )
            self._note_result(order, result)
            is_down = result is InstanceOrderResult.DONE and await self._is_down(order)
        finally:
            self._in_flight.discard(key)
        self._log.info(
            "upkeep-ordered",
            instance=order.instance,
            wave=order.wave,
            upstream=order.upstream,
            result=result.name.lower(),
            is_down=is_down,
        )
        if result is InstanceOrderResult.UNKNOWN:
            # Maintenance may have begun. The order is idempotent and is sent again.
            self._scheduler.mark_unreachable(order.upstream)
        if result is InstanceOrderResult.DONE:
            self.progress_by_wave[order.wave].begun.append(order.instance)
            self.unrecorded_waves.add(order.wave)
            if order.upstream and is_down:
                self._scheduler.remove_upstream(order.upstream, "upkeep")
            self._on_change()

    def _note_result(
        self, order: MoveOrder | MaintenanceOrder, result: InstanceOrderResult
    ) -> None:
        if result in (InstanceOrderResult.BUSY, InstanceOrderResult.REFUSED):
            # It had no effect, so it explains no later end of the upstream.
            self._ordered_ms.pop(order.instance, None)
            self._scheduler.mark_ordered(order.upstream, False)

    async def _is_down(self, order: MaintenanceOrder) -> bool:
        # The platform also reports an order as done that it already carried out for an
        # earlier owner. An upstream that has started since then keeps running.
        try:
            instances = await self._client.list_instances()
        except InstanceListError as error:
            self._log.info("instance-list-unread", reason=str(error))
            return False
        return not any(
            i.id == order.instance
            and i.state is InstanceState.UP
            and i.upstream == order.upstream
            for i in instances
        )
