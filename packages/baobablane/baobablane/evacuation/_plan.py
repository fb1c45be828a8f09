"""Plan which long-running tasks of evacuated zones are moved next.

Load pattern: a third of the fleet closes to starts in the middle of a burst. Short
tasks finish where they run. A long-running task is stopped only if another upstream has
room for it now, and of each step, no more tasks may be unavailable at the same time
than the step's allowance (`may_miss`; 0 sets no limit).
"""

from collections.abc import Collection

from ..scheduling import FleetView, StopOrder


def plan_evictions(
    zones: Collection[str],
    fleet: FleetView,
    ending_upstreams: Collection[str],
    now: float,
) -> list[StopOrder]:
    """Return the runs to stop now, so that their tasks start in other zones.

    `ending_upstreams` end by maintenance orders of this round; their tasks count as
    missing. Evictions that the maintenance of this round planned must be marked before.
    """
    runs = fleet.movable_runs(zones)
    if not runs:
        return []
    missing_by_step = fleet.missing_by_step()
    # Maintenance may end tasks of the same step in zones that are not evacuated.
    for run in fleet.movable_runs(fleet.zones()):
        if run.order.upstream in ending_upstreams:
            missing_by_step[run.step] = missing_by_step.get(run.step, 0) + 1
    remaining = [run for run in runs if run.order.upstream not in ending_upstreams]
    # A wave waits for the tasks on its cordoned upstreams.
    remaining.sort(key=lambda run: not run.is_cordoned)
    room = fleet.relocation_room(now)
    evictions: list[StopOrder] = []
    for run in remaining:
        missing = missing_by_step.get(run.step, 0)
        if run.allowance and missing >= run.allowance:
            continue
        if room.take(run.order.task):
            missing_by_step[run.step] = missing + 1
            evictions.append(run.order)
    return evictions
