"""Throttle fillers by the tail latency of the serving tasks that they disturb.

Load pattern: the interference by fillers changes within seconds, and so does the
serving tasks' own load. The pace is reduced immediately and restored slowly.
"""

from ._orders import PaceOrder
from ._upstream import Run, Upstream

FULL_PERCENT = 100
# Fractions of the latency target: fillers are slowed down above the first, and sped up
# again below the second. Above the target itself, they are paused.
THROTTLE_FRACTION = 0.8
RECOVERY_FRACTION = 0.6
# The pace is restored by this much at a time, and at most once per interval.
RECOVERY_PERCENT = 10
RECOVERY_INTERVAL_SECONDS = 1.0


def plan_pace_orders(upstream: Upstream, now: float) -> list[PaceOrder]:
    """Return new pace orders for an upstream's fillers, and record their paces."""
    latency_ratios = [
        run.tail_ms_or_cpu_millis / run.target_ms
        for run in upstream.runs.values()
        if run.target_ms and run.percent >= FULL_PERCENT
    ]
    fillers = [run for run in upstream.runs.values() if run.is_filler]
    if not fillers:
        return []
    max_latency_ratio = max(latency_ratios, default=0.0)
    orders: list[PaceOrder] = []
    for run in fillers:
        percent = _next_pace(run, max_latency_ratio, now)
        if percent != run.pace_percent:
            run.pace_percent = percent
            run.pace_changed_at = now
            orders.append(PaceOrder(run.task, run.number, upstream.id, percent))
    return orders


def _next_pace(run: Run, max_latency_ratio: float, now: float) -> int:
    if max_latency_ratio > 1.0:
        return 0
    if max_latency_ratio > THROTTLE_FRACTION:
        return run.pace_percent // 2
    if (
        max_latency_ratio < RECOVERY_FRACTION
        and now - run.pace_changed_at >= RECOVERY_INTERVAL_SECONDS
    ):
        return min(FULL_PERCENT, run.pace_percent + RECOVERY_PERCENT)
    return run.pace_percent
