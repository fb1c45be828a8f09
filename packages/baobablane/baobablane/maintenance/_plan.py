"""Plan which instances of a wave are drained and maintained next.

Load pattern: demand bursts in one pool after another, and pools are idle in between, so
the instances with the fewest running tasks are maintained first. An instance is first
cordoned, so that it gets no new work, and runs its short tasks to their end. The
maintenance order then ends its long-running tasks; of each step, no more tasks may be
unavailable at the same time than the step's allowance (`may_miss`; 0 sets no limit).
If there are more tasks, they are evicted one by one first.
"""

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field

from ..deployment import Instance, InstanceState, Wave
from ..scheduling import FleetView, StopOrder, UpstreamView
from ._wave_progress import WaveProgress

# Time for the maintenance itself and for the rest of a short task. If less is left for
# each batch of instances, short tasks are not waited for but end with the order.
MIN_SECONDS_PER_BATCH = 4.5


@dataclass(frozen=True, slots=True)
class MaintenanceOrder:
    """Order the start of an instance's maintenance."""

    instance: str
    wave: int
    # Empty if no upstream is known to run on the instance.
    upstream: str


@dataclass(slots=True)
class MaintenancePlan:
    """Hold the upstreams to cordon and the orders and evictions to issue now."""

    cordoned_upstreams: set[str] = field(default_factory=set)
    orders: list[MaintenanceOrder] = field(default_factory=list)
    evictions: list[StopOrder] = field(default_factory=list)
    completed_waves: list[int] = field(default_factory=list)


def plan_maintenance(
    waves: Sequence[Wave],
    progress_by_wave: Mapping[int, WaveProgress],
    instances: Sequence[Instance],
    fleet: FleetView,
    unix_ms: int,
    is_ordered: Callable[[str, int], bool],
) -> MaintenancePlan:
    """Return the plan for all waves.

    `is_ordered` returns whether an order for an instance and a wave still waits for its
    response; such an instance counts as unavailable. `unix_ms` is the current time.
    """
    plan = MaintenancePlan()
    by_id = {instance.id: instance for instance in instances}
    missing_by_step = fleet.missing_by_step()
    for wave in waves:
        progress = progress_by_wave[wave.number]
        if progress.is_complete:
            continue
        listed = [by_id[name] for name in wave.instances if name in by_id]
        remaining = [i for i in listed if i.id not in progress.begun]
        if not remaining:
            plan.completed_waves.append(wave.number)
            continue
        unavailable = [
            i
            for i in listed
            if i.state is not InstanceState.UP or is_ordered(i.id, wave.number)
        ]
        max_new_instances = wave.max_concurrent_instances - len(unavailable)
        eligible = [
            i
            for i in remaining
            if i.state is InstanceState.UP and not is_ordered(i.id, wave.number)
        ]
        is_due_soon = _is_due_soon(wave, progress, len(remaining), unix_ms)
        _plan_wave(
            plan, wave, eligible, max_new_instances, is_due_soon, fleet, missing_by_step
        )
    return plan


def _plan_wave(
    plan: MaintenancePlan,
    wave: Wave,
    eligible: list[Instance],
    max_new_instances: int,
    is_due_soon: bool,
    fleet: FleetView,
    missing_by_step: dict[tuple[str, int], int],
) -> None:
    views = {i.id: fleet.upstream_view(i.upstream) for i in eligible}
    eligible.sort(key=lambda i: _drain_cost(views[i.id]))
    for instance in eligible[: max(0, max_new_instances)]:
        view = views[instance.id]
        if view is None:
            plan.orders.append(MaintenanceOrder(instance.id, wave.number, ""))
            continue
        plan.cordoned_upstreams.add(view.id)
        if not view.is_reachable or (view.short_runs and not is_due_soon):
            continue
        if view.starting:
            # The order would also end tasks that are starting now, and these are not in
            # `lasting_by_step`, which is counted against the allowance.
            continue
        steps_over_allowance = _steps_over_allowance(view, missing_by_step)
        if steps_over_allowance:
            _evict_one_task_per_step(plan, view, steps_over_allowance, missing_by_step)
            continue
        for step, tasks in view.lasting_by_step.items():
            missing_by_step[step] = missing_by_step.get(step, 0) + len(tasks)
        plan.orders.append(MaintenanceOrder(instance.id, wave.number, view.id))


def _drain_cost(view: UpstreamView | None) -> tuple[int, int, int]:
    if view is None:
        return (0, 0, 0)
    lasting = sum(len(tasks) for tasks in view.lasting_by_step.values())
    # Instances that are already cordoned come first.
    return (0 if view.is_cordoned else 1, view.short_runs, lasting)


def _is_due_soon(
    wave: Wave, progress: WaveProgress, remaining: int, unix_ms: int
) -> bool:
    batches = -(-remaining // max(1, wave.max_concurrent_instances))
    seconds_left = (progress.due_ms - unix_ms) / 1000
    return seconds_left < batches * MIN_SECONDS_PER_BATCH


def _steps_over_allowance(
    view: UpstreamView, missing_by_step: Mapping[tuple[str, int], int]
) -> list[tuple[str, int]]:
    return [
        step
        for step, tasks in view.lasting_by_step.items()
        if view.allowance_by_step[step]
        and missing_by_step.get(step, 0) + len(tasks) > view.allowance_by_step[step]
    ]


def _evict_one_task_per_step(
    plan: MaintenancePlan,
    view: UpstreamView,
    steps: list[tuple[str, int]],
    missing_by_step: dict[tuple[str, int], int],
) -> None:
    for step in steps:
        if missing_by_step.get(step, 0) < view.allowance_by_step[step]:
            missing_by_step[step] = missing_by_step.get(step, 0) + 1
            plan.evictions.append(view.lasting_by_step[step][0])
