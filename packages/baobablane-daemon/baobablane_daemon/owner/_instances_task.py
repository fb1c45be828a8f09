"""Move and maintain the platform's instances."""

import asyncio
from collections.abc import Callable

from baobablane.deployment import Instance
from baobablane.scheduling import Scheduler
from baobablane.sizing import MoveOrder, PoolSizing, plan_moves
from baobablane.upkeep import UpkeepOrder, UpkeepPlan, WaveProgress, plan_upkeep
from baobablane_platform import InstanceClient, InstanceListError, InstanceOrderResult

from ..jobs import Views, boot_seconds, unix_ms
from ..tasks import DecisionLog
from ._membership import GroupMember

LIST_SECONDS = 0.25
# An order is given only on an ownership confirmed within this, so that a replaced
# owner's last order and its successor's first stay apart.
CONFIRMED_SECONDS = 1.0
# The longest that a replaced owner may still give orders: its confirmation and its
# last call's time-out.
OLD_OWNER_SECONDS = 2.0


class InstancesTask:
    """Own the orders for instances of one owner."""

    def __init__(
        self,
        client: InstanceClient,
        views: Views,
        scheduler: Scheduler,
        member: GroupMember,
        log: DecisionLog,
        epoch: int,
        order_lease_seconds: float,
        on_change: Callable[[], None],
    ) -> None:
        """Wait out the earlier owner's orders before the first one."""
        self._client = client
        self._views = views
        self._scheduler = scheduler
        self._member = member
        self._log = log
        self._epoch = epoch
        self._on_change = on_change
        self._first_order_at = boot_seconds() + order_lease_seconds + OLD_OWNER_SECONDS
        self._instances: list[Instance] = []
        # Orders without a known end: the instance counts as down.
        self._under_way: set[tuple[str, int]] = set()
        self._sizing = PoolSizing()
        self.progress_by_wave: dict[int, WaveProgress] = {}
        # Waves whose progress is not recorded yet.
        self.dirty: set[int] = set()

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
        plan = plan_upkeep(
            list(self._views.waves.values()),
            self.progress_by_wave,
            self._instances,
            self._scheduler,
            unix_ms(),
            lambda instance, wave: (instance, wave) in self._under_way,
        )
        moves = self._plan_moves(plan)
        closing = {move.upstream for move in moves if move.upstream}
        self._scheduler.cordon(plan.cordoned | closing)
        for number in plan.completed:
            self.progress_by_wave[number].is_complete = True
            self.dirty.add(number)
        if boot_seconds() < self._first_order_at:
            return
        for eviction in plan.evictions:
            self._scheduler.evict(eviction)
        self._on_change()
        await asyncio.gather(
            *(self._maintain(order) for order in plan.orders),
            *(self._move(move) for move in moves),
        )

    def _plan_moves(self, upkeep: UpkeepPlan) -> list[MoveOrder]:
        configuration = self._views.configuration
        if configuration is None:
            return []
        now = boot_seconds()
        demands = self._scheduler.demand_by_pool(unix_ms())
        self._sizing.observe(demands, now)
        if now < self._first_order_at or not self._sizing.has_begun():
            return []
        wanted = {
            pool: self._sizing.wanted_cores(pool, demand, now)
            for pool, demand in demands.items()
        }
        standby = min(configuration.standby_pools(), default="")
        busy = {order.instance for order in upkeep.orders}
        return plan_moves(
            wanted,
            self._instances,
            self._scheduler.empty_upstreams() - upkeep.cordoned,
            standby,
            busy,
        )

    async def _move(self, order: MoveOrder) -> None:
        if not self._member.is_confirmed(CONFIRMED_SECONDS):
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

    async def _maintain(self, order: UpkeepOrder) -> None:
        if not self._member.is_confirmed(CONFIRMED_SECONDS):
            self._log.info("upkeep-waits", instance=order.instance)
            return
        key = (order.instance, order.wave)
        self._under_way.add(key)
        result = await self._client.maintain(order.instance, order.wave, self._epoch)
        self._log.info(
            "upkeep-ordered",
            instance=order.instance,
            wave=order.wave,
            upstream=order.upstream,
            result=result.name.lower(),
        )
        self._under_way.discard(key)
        if result is InstanceOrderResult.UNKNOWN:
            # It may have begun; the order is repeated, which does no harm.
            self._scheduler.unsure(order.upstream)
        if result is InstanceOrderResult.DONE:
            self.progress_by_wave[order.wave].begun.append(order.instance)
            self.dirty.add(order.wave)
            if order.upstream:
                self._scheduler.upstream_ended(order.upstream, "upkeep")
            self._on_change()
