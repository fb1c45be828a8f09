"""Plan moves of idle instances between pools and the standby pool."""

from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass

from ..deployment import Instance, InstanceState

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
    wanted_cores: Mapping[str, float],
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
    cores: dict[str, float] = dict.fromkeys(wanted_cores, 0.0)
    count: dict[str, int] = dict.fromkeys(wanted_cores, 0)
    idle: dict[str, list[Instance]] = {name: [] for name in wanted_cores}
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
    orders: list[MoveOrder] = []
    for pool in _by_need(wanted_cores, cores):
        while cores[pool] < wanted_cores[pool] and (spare or given):
            instance = spare.pop() if spare else given.pop()
            cores[pool] += instance.capacity.cpu_millis / 1000
            orders.append(MoveOrder(instance.id, pool, _upstream(instance, standby)))
    orders += [MoveOrder(i.id, standby, i.upstream) for i in given if standby]
    return orders


def _by_need(wanted: Mapping[str, float], cores: Mapping[str, float]) -> list[str]:
    return sorted(wanted, key=lambda pool: cores[pool] - wanted[pool])


def _take_excess(
    wanted: Mapping[str, float],
    cores: dict[str, float],
    count: dict[str, int],
    idle: Mapping[str, list[Instance]],
) -> list[Instance]:
    given: list[Instance] = []
    for pool, instances in idle.items():
        for instance in instances:
            own = instance.capacity.cpu_millis / 1000
            if count[pool] <= LEAST_INSTANCES or cores[pool] - own < wanted[pool]:
                break
            cores[pool] -= own
            count[pool] -= 1
            given.append(instance)
    return given


def _upstream(instance: Instance, standby: str) -> str:
    return "" if instance.pool == standby else instance.upstream
