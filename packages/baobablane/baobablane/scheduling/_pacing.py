"""Pace fillers by the tail latency of the tasks that they disturb.

Load pattern: fillers disturb serving tasks by amounts that change within seconds, and
so does the serving tasks' own load. Pace is cut at once and comes back slowly.
"""

from ._orders import PaceOrder
from ._upstream import Run, Upstream

FULL_PERCENT = 100
# Parts of a target: above the first a serving task is close to it, below the second
# there is room for more.
CLOSE_PART = 0.8
ROOM_PART = 0.6
# How much pace comes back at a time, in percent, and how often, in seconds.
RISE_PERCENT = 10
RISE_SECONDS = 1.0


def plan_paces(upstream: Upstream, now: float) -> list[PaceOrder]:
    """Return the changes of pace that the latest report calls for."""
    pressures = [
        run.measure / run.target_ms
        for run in upstream.runs.values()
        if run.target_ms and run.percent >= FULL_PERCENT
    ]
    fillers = [run for run in upstream.runs.values() if run.is_filler]
    if not fillers:
        return []
    pressure = max(pressures, default=0.0)
    orders: list[PaceOrder] = []
    for run in fillers:
        percent = _next_pace(run, pressure, now)
        if percent != run.pace:
            run.pace = percent
            run.paced_at = now
            orders.append(PaceOrder(run.task, run.run, upstream.id, percent))
    return orders


def _next_pace(run: Run, pressure: float, now: float) -> int:
    if pressure > 1.0:
        return 0
    if pressure > CLOSE_PART:
        return run.pace // 2
    if pressure < ROOM_PART and now - run.paced_at >= RISE_SECONDS:
        return min(FULL_PERCENT, run.pace + RISE_PERCENT)
    return run.pace
