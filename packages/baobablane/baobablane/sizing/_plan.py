"""Plan moves of idle instances between pools and the standby pool."""

import math
from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass

from ..deployment import Instance, InstanceState
from ._target import PoolTarget

# Instances that a pool keeps, so that lasting tasks have a second place.
LEAST_INSTANCES = 2


@dataclass(frozen=True, slots=True)
class MoveOrder:
    """Move an instance to another pool."""

    instance: str
    pool: str
    # Empty for an instance of the standby pool.
    upstream: str


def plan_moves(
    targets: Mapping[str, PoolTarget],
    instances: Sequence[Instance],
    empty_upstreams: Collection[str],
    standby: str,
    busy: Collection[str],
    closed_upstreams: Collection[str],
) -> list[MoveOrder]:
    """Return the moves to order now.

    `busy` are instances that other orders are under way for. Instances that are on
    their way to a pool count there, closed ones do not. Only upstreams that run
    nothing are taken.
    """
    wanted_cores = {name: target.wanted for name, target in targets.items()}
    needed_cores = {name: target.needed for name, target in targets.items()}
    cores: dict[str, float] = dict.fromkeys(targets, 0.0)
    count: dict[str, int] = dict.fromkeys(targets, 0)
    idle: dict[str, list[Instance]] = {name: [] for name in targets}
    spare: list[Instance] = []
    for instance in instances:
        if instance.state is InstanceState.DOWN:
            continue
        if instance.upstream and instance.upstream in closed_upstreams:
            continue
        own = instance.capacity.cpu_millis / 1000
        if instance.pool in cores:
            cores[instance.pool] += own
            count[instance.pool] += 1
            if instance.upstream in empty_upstreams and instance.id not in busy:
                idle[instance.pool].append(instance)
        elif (
            instance.pool == standby
            and instance.state is InstanceState.UP
            and instance.id not in busy
        ):
            spare.append(instance)
    given = _take_excess(wanted_cores, cores, count, idle)
    missing = sum(max(0.0, needed_cores[name] - cores[name]) for name in targets)
    at_hand = sum(i.capacity.cpu_millis for i in spare + given) / 1000
    lent = _take_excess(needed_cores, cores, count, idle, missing - at_hand)
    # A move from the standby pool ends nothing and takes nothing from a pool.
    sources = [spare, given]
    orders = _fill(needed_cores, cores, [*sources, lent], standby)
    orders += _fill(wanted_cores, cores, sources, standby)
    orders += [MoveOrder(i.id, standby, i.upstream) for i in given if standby]
    return orders


def _fill(
    aimed_cores: Mapping[str, float],
    cores: dict[str, float],
    sources: Sequence[list[Instance]],
    standby: str,
) -> list[MoveOrder]:
    orders: list[MoveOrder] = []
    for pool in _by_need(aimed_cores, cores):
        while cores[pool] < aimed_cores[pool]:
            source = next((source for source in sources if source), None)
            if source is None:
                return orders
            instance = source.pop()
            cores[pool] += instance.capacity.cpu_millis / 1000
            orders.append(MoveOrder(instance.id, pool, _upstream(instance, standby)))
    return orders


def _by_need(wanted: Mapping[str, float], cores: Mapping[str, float]) -> list[str]:
    return sorted(wanted, key=lambda pool: cores[pool] - wanted[pool])


def _take_excess(
    kept_cores: Mapping[str, float],
    cores: dict[str, float],
    count: dict[str, int],
    idle: Mapping[str, list[Instance]],
    most_cores: float = math.inf,
) -> list[Instance]:
    given: list[Instance] = []
    for pool, instances in idle.items():
        while instances and most_cores > 0.0:
            own = instances[-1].capacity.cpu_millis / 1000
            if count[pool] <= LEAST_INSTANCES or cores[pool] - own < kept_cores[pool]:
                break
            cores[pool] -= own
            count[pool] -= 1
            most_cores -= own
            given.append(instances.pop())
    return given


def _upstream(instance: Instance, standby: str) -> str:
    return "" if instance.pool == standby else instance.upstream
