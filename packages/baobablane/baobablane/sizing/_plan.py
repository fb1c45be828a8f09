"""Plan moves of idle instances between pools and the standby pool."""

import math
from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass

from ..deployment import Instance, InstanceState
from ._target import PoolTarget

# With two instances, a long-running task can be restarted on the other one.
MIN_INSTANCES_PER_POOL = 2


@dataclass(frozen=True, slots=True)
class MoveOrder:
    """Order the move of an instance to another pool."""

    instance: str
    pool: str
    # Upstream on the instance; empty if it comes from the standby pool.
    upstream: str


def plan_moves(
    targets: Mapping[str, PoolTarget],
    instances: Sequence[Instance],
    empty_upstreams: Collection[str],
    standby_pool: str,
    instances_under_order: Collection[str],
    cordoned_upstreams: Collection[str],
    unstable_pools: Collection[str] = (),
    evacuated_zones: Collection[str] = (),
) -> list[MoveOrder]:
    """Return the moves to order now.

    Instances in `instances_under_order` already have an order in progress and are not
    moved. An instance that is moving counts towards its new pool. Cordoned upstreams
    don't count towards any pool. Only standby instances and instances whose upstream
    is in `empty_upstreams` are moved. Instances that are down count only in
    `unstable_pools`: tasks that crash the upstreams of one pool would otherwise draw
    the whole fleet into it. Instances in `evacuated_zones` take no tasks, so they don't
    count towards any pool and are not moved into one; idle ones go to standby. If all
    zones are evacuated, they stay, so that the withdrawal finds the pools complete.
    """
    wanted_cores = {name: target.wanted_cores for name, target in targets.items()}
    needed_cores = {name: target.needed_cores for name, target in targets.items()}
    cores_by_pool: dict[str, float] = dict.fromkeys(targets, 0.0)
    instance_counts: dict[str, int] = dict.fromkeys(targets, 0)
    idle_by_pool: dict[str, list[Instance]] = {name: [] for name in targets}
    standby_instances: list[Instance] = []
    evacuated_instances: list[Instance] = []
    for instance in instances:
        if instance.state is InstanceState.UNKNOWN:
            continue
        if instance.state is InstanceState.DOWN and instance.pool not in unstable_pools:
            continue
        if instance.upstream and instance.upstream in cordoned_upstreams:
            continue
        is_idle = (
            instance.upstream in empty_upstreams
            and instance.id not in instances_under_order
        )
        if instance.zone in evacuated_zones:
            if is_idle and instance.pool in targets:
                evacuated_instances.append(instance)
            continue
        instance_cores = instance.capacity.cpu_millis / 1000
        if instance.pool in cores_by_pool:
            cores_by_pool[instance.pool] += instance_cores
            instance_counts[instance.pool] += 1
            if is_idle:
                idle_by_pool[instance.pool].append(instance)
        elif (
            instance.pool == standby_pool
            and instance.state is InstanceState.UP
            and instance.id not in instances_under_order
        ):
            standby_instances.append(instance)
    surplus = _take_surplus(wanted_cores, cores_by_pool, instance_counts, idle_by_pool)
    shortage_cores = sum(
        max(0.0, needed_cores[name] - cores_by_pool[name]) for name in targets
    )
    available_cores = (
        sum(i.capacity.cpu_millis for i in standby_instances + surplus) / 1000
    )
    borrowed = _take_surplus(
        needed_cores,
        cores_by_pool,
        instance_counts,
        idle_by_pool,
        shortage_cores - available_cores,
    )
    # Use standby instances first: moving one stops no task and shrinks no other pool.
    sources = [standby_instances, surplus]
    orders = _fill_pools(
        needed_cores, cores_by_pool, [*sources, borrowed], standby_pool
    )
    orders += _fill_pools(wanted_cores, cores_by_pool, sources, standby_pool)
    if any(instance.zone not in evacuated_zones for instance in instances):
        surplus += evacuated_instances
    orders += [
        MoveOrder(i.id, standby_pool, i.upstream) for i in surplus if standby_pool
    ]
    return orders


def _fill_pools(
    target_cores: Mapping[str, float],
    cores_by_pool: dict[str, float],
    sources: Sequence[list[Instance]],
    standby_pool: str,
) -> list[MoveOrder]:
    orders: list[MoveOrder] = []
    for pool in _sort_by_shortage(target_cores, cores_by_pool):
        while cores_by_pool[pool] < target_cores[pool]:
            source = next((source for source in sources if source), None)
            if source is None:
                return orders
            instance = source.pop()
            cores_by_pool[pool] += instance.capacity.cpu_millis / 1000
            orders.append(
                MoveOrder(instance.id, pool, _current_upstream(instance, standby_pool))
            )
    return orders


def _sort_by_shortage(
    target_cores: Mapping[str, float], cores_by_pool: Mapping[str, float]
) -> list[str]:
    return sorted(
        target_cores, key=lambda pool: cores_by_pool[pool] - target_cores[pool]
    )


def _take_surplus(
    kept_cores: Mapping[str, float],
    cores_by_pool: dict[str, float],
    instance_counts: dict[str, int],
    idle_by_pool: Mapping[str, list[Instance]],
    max_cores: float = math.inf,
) -> list[Instance]:
    surplus: list[Instance] = []
    for pool, instances in idle_by_pool.items():
        while instances and max_cores > 0.0:
            instance_cores = instances[-1].capacity.cpu_millis / 1000
            if (
                instance_counts[pool] <= MIN_INSTANCES_PER_POOL
                or cores_by_pool[pool] - instance_cores < kept_cores[pool]
            ):
                break
            cores_by_pool[pool] -= instance_cores
            instance_counts[pool] -= 1
            max_cores -= instance_cores
            surplus.append(instances.pop())
    return surplus


def _current_upstream(instance: Instance, standby_pool: str) -> str:
    return "" if instance.pool == standby_pool else instance.upstream
