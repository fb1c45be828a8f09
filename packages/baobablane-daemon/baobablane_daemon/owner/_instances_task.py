"""Move and maintain the platform's instances."""

import asyncio
from collections.abc import Callable

from baobablane.deployment import Instance, InstanceState
from baobablane.maintenance import (
    MaintenanceOrder,
    MaintenancePlan,
    WaveProgress,
    plan_maintenance,
)
from baobablane.scheduling import Scheduler
from baobablane.sizing import (
    BurstStarts,
    MoveOrder,
    PoolSizing,
    encode_burst_starts,
    plan_moves,
)
from baobablane_platform import InstanceClient, InstanceListError, InstanceOrderResult

from ..jobs import ORDER_PREFIX, RISES_KEY, Views, boot_seconds, unix_ms
from ..tasks import DecisionLog
from ._ownership import Ownership
from ._progress_writer import ProgressWriter

LIST_SECONDS = 0.25
# An order is given only on an ownership confirmed within this, so that a replaced
# owner's last order and its successor's first stay apart.
CONFIRMED_SECONDS = 1.0
# From the record of an order to its arrival: the wait for the record's answer is
# bounded by the confirmation, the call by its time-out.
ORDER_SECONDS = 1.5
# Clocks of instances may differ by this much.
CLOCK_SECONDS = 0.5


class InstancesTask:
    """Own the orders for instances of one owner."""

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
        """Order nothing yet; `take_over` comes first."""
        self._client = client
        self._views = views
        self._scheduler = scheduler
        self._ownership = ownership
        self._log = log
        self._epoch = epoch
        self._on_change = on_change
        self._order_lease_seconds = order_lease_seconds
        self._writer = writer
        # Until when an earlier owner's order for an instance keeps others away.
        self._kept_until: dict[str, float] = {}
        self._instances: list[Instance] = []
        # Orders without a known end: the instance counts as down.
        self._under_way: set[tuple[str, int]] = set()
        self._sizing = PoolSizing()
        self._recorded_rises: BurstStarts = []
        self.progress_by_wave: dict[int, WaveProgress] = {}
        # Waves whose progress is not recorded yet.
        self.dirty: set[int] = set()

    def take_over(self) -> None:
        """Take over the turns seen, and leave instances under recent orders alone."""
        self._sizing.forecast.restore(self._views.rises)
        now = boot_seconds()
        keep_seconds = self._order_lease_seconds + ORDER_SECONDS + CLOCK_SECONDS
        for instance, ordered_ms in self._views.ordered_ms.items():
            age = max(0.0, (unix_ms() - ordered_ms) / 1000)
            self._kept_until[instance] = now + keep_seconds - age

    def _is_kept(self, instance: str) -> bool:
        return boot_seconds() < self._kept_until.get(instance, 0.0)

    async def run(self) -> None:
        """Plan and order until cancelled."""
        while True:
            await self._round()
            await asyncio.sleep(LIST_SECONDS)

    def _open_waves(self) -> None:
        for number, wave in self._views.waves.items():
            if number in self.progress_by_wave:
                continue
            recorded = self._views.wave_progress.get(number)
            if recorded is None:
                due_ms = unix_ms() + round(wave.duration_seconds * 1000)
                recorded = WaveProgress([], due_ms)
            self.progress_by_wave[number] = recorded
            self.dirty.add(number)

    async def _round(self) -> None:
        try:
            self._instances = await self._client.list_instances()
        except InstanceListError as error:
            self._log.info("instance-list-unread", reason=str(error))
            return
        # A wave may have come while the list was read.
        self._open_waves()
        plan = plan_maintenance(
            list(self._views.waves.values()),
            self.progress_by_wave,
            self._instances,
            self._scheduler.fleet,
            unix_ms(),
            lambda instance, wave: (instance, wave) in self._under_way,
        )
        plan.orders = [o for o in plan.orders if not self._is_kept(o.instance)]
        moves = self._plan_moves(plan)
        await self._record_rises()
        closing = {move.upstream for move in moves if move.upstream}
        self._scheduler.fleet.cordon(plan.cordoned_upstreams | closing)
        for number in plan.completed_waves:
            self.progress_by_wave[number].is_complete = True
            self.dirty.add(number)
        for eviction in plan.evictions:
            self._scheduler.fleet.evict(eviction)
        self._on_change()
        if not (plan.orders or moves):
            return
        if await self._record_orders(plan, moves):
            await asyncio.gather(
                *(self._maintain(order) for order in plan.orders),
                *(self._move(move) for move in moves),
            )

    async def _record_rises(self) -> None:
        rises = self._sizing.forecast.burst_starts()
        if rises != self._recorded_rises:
            await self._writer.write({RISES_KEY: encode_burst_starts(rises)})
            self._recorded_rises = rises

    async def _record_orders(
        self, plan: MaintenancePlan, moves: list[MoveOrder]
    ) -> bool:
        """Record orders before they are sent; return whether to send them."""
        instances = [order.instance for order in plan.orders]
        instances += [move.instance for move in moves]
        asked_at = boot_seconds()
        at_ms = str(unix_ms()).encode()
        await self._writer.write({f"{ORDER_PREFIX}{i}": at_ms for i in instances})
        if boot_seconds() - asked_at < CONFIRMED_SECONDS:
            return True
        self._log.info("orders-dropped", reason="the record took too long")
        return False

    def _plan_moves(self, upkeep: MaintenancePlan) -> list[MoveOrder]:
        configuration = self._views.configuration
        if configuration is None:
            return []
        now = unix_ms() / 1000
        demands = self._scheduler.fleet.demand_by_pool(unix_ms())
        fleet_cores = sum(i.capacity.cpu_millis for i in self._instances) / 1000
        even_cores = fleet_cores / max(1, len(configuration.pools_by_name))
        self._sizing.observe(demands, even_cores, now)
        targets = {
            pool: self._sizing.target(pool, demand, now)
            for pool, demand in demands.items()
        }
        standby = min(configuration.standby_pools(), default="")
        busy = {order.instance for order in upkeep.orders}
        busy |= {i.id for i in self._instances if self._is_kept(i.id)}
        return plan_moves(
            targets,
            self._instances,
            self._scheduler.fleet.empty_upstreams() - upkeep.cordoned_upstreams,
            standby,
            busy,
            upkeep.cordoned_upstreams,
        )

    async def _move(self, order: MoveOrder) -> None:
        if not self._ownership.is_confirmed(CONFIRMED_SECONDS):
            return
        result = await self._client.move(order.instance, order.pool, self._epoch)
        self._log.info(
            "move-ordered",
            instance=order.instance,
            pool=order.pool,
            upstream=order.upstream,
            result=result.name.lower(),
        )
        if result is InstanceOrderResult.DONE and order.upstream:
            self._scheduler.upstream_ended(order.upstream, "moved")
        elif result is InstanceOrderResult.UNKNOWN and order.upstream:
            self._scheduler.unsure(order.upstream)

    async def _maintain(self, order: MaintenanceOrder) -> None:
        if not self._ownership.is_confirmed(CONFIRMED_SECONDS):
            self._log.info("upkeep-waits", instance=order.instance)
            return
        key = (order.instance, order.wave)
        self._under_way.add(key)
        result = await self._client.maintain(order.instance, order.wave, self._epoch)
        is_down = result is InstanceOrderResult.DONE and await self._is_down(order)
        self._log.info(
            "upkeep-ordered",
            instance=order.instance,
            wave=order.wave,
            upstream=order.upstream,
            result=result.name.lower(),
            is_down=is_down,
        )
        self._under_way.discard(key)
        if result is InstanceOrderResult.UNKNOWN:
            # It may have begun; the order is repeated, which does no harm.
            self._scheduler.unsure(order.upstream)
        if result is InstanceOrderResult.DONE:
            self.progress_by_wave[order.wave].begun.append(order.instance)
            self.dirty.add(order.wave)
            if order.upstream and is_down:
                self._scheduler.upstream_ended(order.upstream, "upkeep")
            self._on_change()

    async def _is_down(self, order: MaintenanceOrder) -> bool:
        # An order that an earlier owner gave, and did not record as carried out, is
        # answered alike; the upstream that came since then runs on.
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
