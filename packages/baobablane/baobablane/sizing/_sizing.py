"""Decide how many cores each pool should have.

Load pattern: in a burst, a pool's demand is several times its mean and exceeds its own
capacity; between bursts it is a twentieth of the peak. A pool gets cores for the work
that arrives and waits, and shortly before a burst that can be forecast. Between bursts,
it keeps few cores. A new owner in the middle of a burst rebuilds the rates from the
jobs that were accepted before.
"""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field

from ..scheduling import PoolDemand
from ._arrival import Arrival
from ._demand_history import MOVE_LEAD_SECONDS, PoolDemandHistory
from ._forecast import BurstForecast
from ._target import PoolTarget

# Declared task sizes are inexact, and cores can only be moved by whole instances.
HEADROOM_FACTOR = 1.25
# Fraction of its equal share that a pool reserves for its first burst and doesn't lend,
# even if other pools are short of cores.
FIRST_BURST_RESERVE_FRACTION = 0.5
# Fraction of its equal share that a pool keeps free for new work.
FREE_RESERVE_FRACTION = 0.15
# If a burst is later than forecast by more than this, its cores are released.
MAX_BURST_DELAY_SECONDS = 1.5
# A new owner rebuilds the history of this time, which covers a burst of every pool, in
# steps of the interval at which demand is observed.
RESTORED_SECONDS = 60.0
RESTORED_STEP_SECONDS = 0.25


@dataclass(slots=True)
class PoolSizing:
    """Track the demand of each pool over time and derive its target size."""

    forecast: BurstForecast = field(default_factory=BurstForecast)
    _pools: dict[str, PoolDemandHistory] = field(default_factory=dict)
    _observed_at: float | None = None

    def observe(
        self, demands: dict[str, PoolDemand], equal_share_cores: float, now: float
    ) -> None:
        """Record the current demand of all pools.

        `equal_share_cores` is the number of the fleet's cores per pool, and `now` is in
        Unix seconds. Pools that are missing from `demands` are removed.
        """
        previous_observed_at = self._observed_at
        self._observed_at = now
        for name, demand in demands.items():
            pool = self._pools.get(name)
            if pool is None:
                pool = self._pools[name] = PoolDemandHistory(
                    demand.arrived_core_seconds, demand.arrived_squares
                )
            pool.equal_share_cores = equal_share_cores
            if previous_observed_at is None or now <= previous_observed_at:
                continue
            if pool.observe(demand, now - previous_observed_at):
                self.forecast.record_burst(name, now)
        for name in set(self._pools) - set(demands):
            del self._pools[name]

    def restore(
        self,
        arrivals: Iterable[Arrival],
        pools: Iterable[str],
        equal_share_cores: float,
        now: float,
    ) -> None:
        """Rebuild the rates from arrivals before `now`, which is in Unix seconds.

        Burst starts that `forecast` holds are kept.
        """
        burst_starts = self.forecast.burst_starts()
        waiting = deque(sorted(arrivals))
        core_seconds = dict.fromkeys(pools, 0.0)
        squares = dict.fromkeys(core_seconds, 0.0)
        for step in reversed(range(round(RESTORED_SECONDS / RESTORED_STEP_SECONDS))):
            at = now - step * RESTORED_STEP_SECONDS
            while waiting and waiting[0].at <= at:
                arrival = waiting.popleft()
                if arrival.pool in core_seconds:
                    core_seconds[arrival.pool] += arrival.core_seconds
                    squares[arrival.pool] += arrival.core_seconds**2
            demands = {
                pool: PoolDemand(0.0, 0.0, 0.0, core_seconds[pool], squares[pool])
                for pool in core_seconds
            }
            self.observe(demands, equal_share_cores, at)
            for pool, demand in demands.items():
                # Sets the cores that the pool got in its burst.
                self.wanted_cores(pool, demand, at)
        if burst_starts:
            self.forecast.restore(burst_starts)
        for history in self._pools.values():
            history.arrived_core_seconds = None

    def target(self, name: str, demand: PoolDemand, now: float) -> PoolTarget:
        """Return the cores that a pool should have and those that it can't lend.

        The pool's demand must have been observed before.
        """
        wanted_cores = self.wanted_cores(name, demand, now)
        target = self._base_target(name, demand, wanted_cores)
        # Trials use what no other pool needs.
        return PoolTarget(target.wanted_cores + demand.trial_cores, target.needed_cores)

    def _base_target(
        self, name: str, demand: PoolDemand, wanted_cores: float
    ) -> PoolTarget:
        if self.forecast.has_recorded_burst(name):
            return PoolTarget(wanted_cores, wanted_cores)
        # The first burst may be far off, so part of the reserve for it may be lent to a
        # pool whose burst is in progress.
        pool = self._pools[name]
        needed_cores = demand.lasting_cores + HEADROOM_FACTOR * max(
            pool.rate, demand.due_cores
        )
        reserved_cores = FIRST_BURST_RESERVE_FRACTION * pool.equal_share_cores
        return PoolTarget(
            wanted_cores, min(wanted_cores, max(needed_cores, reserved_cores))
        )

    def wanted_cores(self, name: str, demand: PoolDemand, now: float) -> float:
        """Return the cores that a pool should have."""
        pool = self._pools[name]
        baseline_cores = (
            demand.lasting_cores + FREE_RESERVE_FRACTION * pool.equal_share_cores
        )
        wanted_cores = baseline_cores + HEADROOM_FACTOR * max(
            pool.rate, demand.due_cores
        )
        if pool.is_in_burst:
            wanted_cores = max(
                wanted_cores, baseline_cores + HEADROOM_FACTOR * pool.expected_rate()
            )
            if not pool.is_past_peak():
                # A burst needs at least the equal share. Cores that were added in this
                # burst are kept during a short dip of the demand.
                wanted_cores = pool.burst_cores = max(
                    wanted_cores,
                    pool.equal_share_cores,
                    baseline_cores + HEADROOM_FACTOR * pool.forecast_peak_rate(),
                    pool.burst_cores,
                )
        is_burst_expected = self._is_burst_expected(name, now)
        if not self.forecast.has_recorded_burst(name):
            # The first burst can't be forecast, and its first seconds matter most.
            return max(wanted_cores, pool.equal_share_cores)
        return (
            max(wanted_cores, baseline_cores + HEADROOM_FACTOR * pool.peak_rate)
            if is_burst_expected
            else wanted_cores
        )

    def _is_burst_expected(self, name: str, now: float) -> bool:
        burst_start = self.forecast.next_burst_start()
        if (
            burst_start is None
            or not burst_start - MOVE_LEAD_SECONDS
            <= now
            <= burst_start + MAX_BURST_DELAY_SECONDS
        ):
            return False
        return name in self.forecast.next_burst_pools(set(self._pools))
