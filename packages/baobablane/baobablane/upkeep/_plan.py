"""Plan which instances of a wave are emptied and maintained next.

Load pattern: pools are full in turns and idle in between, so instances that run least
go first. An instance is closed for new work, runs its short tasks to their end, and is
then maintained; its lasting tasks end with the order, no more at once of a step than
the step may miss.
"""

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field

from ..deployment import Instance, InstanceState, Wave
from ..scheduling import FleetView, StopOrder, UpstreamView
from ._wave_progress import WaveProgress

# With less time than this for each batch of instances, short tasks are ended, too:
# the upkeep itself, and what a short task may still take.
HURRIED_BATCH_SECONDS = 4.5


@dataclass(frozen=True, slots=True)
class UpkeepOrder:
    """Begin an instance's upkeep."""

    instance: str
    wave: int
    upstream: str


@dataclass(slots=True)
class UpkeepPlan:
    """Hold the upstreams to close and the orders to send now."""

    cordoned: set[str] = field(default_factory=set)
    orders: list[UpkeepOrder] = field(default_factory=list)
    evictions: list[StopOrder] = field(default_factory=list)
    completed: list[int] = field(default_factory=list)


def plan_upkeep(
    waves: Sequence[Wave],
    progress_by_wave: Mapping[int, WaveProgress],
    instances: Sequence[Instance],
    fleet: FleetView,
    unix_ms: int,
    is_ordered: Callable[[str, int], bool],
) -> UpkeepPlan:
    """Return what to do next for all waves; orders that are under way count."""
    plan = UpkeepPlan()
    by_id = {instance.id: instance for instance in instances}
    missing = fleet.missing_by_step()
    for wave in waves:
        progress = progress_by_wave[wave.number]
        if progress.is_complete:
            continue
        staying = [by_id[name] for name in wave.instances if name in by_id]
        left = [i for i in staying if i.id not in progress.begun]
        if not left:
            plan.completed.append(wave.number)
            continue
        down = [
            i
            for i in staying
            if i.state is not InstanceState.UP or is_ordered(i.id, wave.number)
        ]
        places = wave.most_at_once - len(down)
        open_left = [
            i
            for i in left
            if i.state is InstanceState.UP and not is_ordered(i.id, wave.number)
        ]
        is_hurried = _is_hurried(wave, progress, len(left), unix_ms)
        _plan_wave(plan, wave, open_left, places, is_hurried, fleet, missing)
    return plan


def _plan_wave(
    plan: UpkeepPlan,
    wave: Wave,
    open_left: list[Instance],
    places: int,
    is_hurried: bool,
    fleet: FleetView,
    missing: dict[tuple[str, int], int],
) -> None:
    views = {i.id: fleet.upstream_view(i.upstream) for i in open_left}
    open_left.sort(key=lambda i: _effort(views[i.id]))
    for instance in open_left[: max(0, places)]:
        view = views[instance.id]
        if view is None:
            plan.orders.append(UpkeepOrder(instance.id, wave.number, ""))
            continue
        plan.cordoned.add(view.id)
        if not view.is_reachable or (view.short_runs and not is_hurried):
            continue
        if view.starting:
            # They would be at work, and count, by the time the order is carried out.
            continue
        over = _steps_over_allowance(view, missing)
        if over:
            _evict_one(plan, view, over, missing)
            continue
        for step, tasks in view.lasting_by_step.items():
            missing[step] = missing.get(step, 0) + len(tasks)
        plan.orders.append(UpkeepOrder(instance.id, wave.number, view.id))


def _effort(view: UpstreamView | None) -> tuple[int, int, int]:
    if view is None:
        return (0, 0, 0)
    lasting = sum(len(tasks) for tasks in view.lasting_by_step.values())
    # An instance that is closed already is finished first.
    return (0 if view.is_cordoned else 1, view.short_runs, lasting)


def _is_hurried(wave: Wave, progress: WaveProgress, left: int, unix_ms: int) -> bool:
    batches = -(-left // max(1, wave.most_at_once))
    seconds_left = (progress.due_ms - unix_ms) / 1000
    return seconds_left < batches * HURRIED_BATCH_SECONDS


def _steps_over_allowance(
    view: UpstreamView, missing: Mapping[tuple[str, int], int]
) -> list[tuple[str, int]]:
    return [
        step
        for step, tasks in view.lasting_by_step.items()
        if view.allowance_by_step[step]
        and missing.get(step, 0) + len(tasks) > view.allowance_by_step[step]
    ]


def _evict_one(
    plan: UpkeepPlan,
    view: UpstreamView,
    steps: list[tuple[str, int]],
    missing: dict[tuple[str, int], int],
) -> None:
    for step in steps:
        if missing.get(step, 0) < view.allowance_by_step[step]:
            missing[step] = missing.get(step, 0) + 1
            plan.evictions.append(view.lasting_by_step[step][0])
