"""Decide how many cores each pool should have.

Load pattern: in a burst, a pool's demand is several times its mean and exceeds its own
capacity; between bursts it is a twentieth of the peak. A pool gets cores for the work
that arrives and waits, and shortly before a burst that can be forecast. Between bursts,
it keeps few cores. A new owner in the middle of a burst rebuilds the rates from the
jobs that were accepted before.
"""

import math
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field

from ..scheduling import PoolDemand
from ._arrival import Arrival
from ._forecast import BurstForecast
from ._target import PoolTarget

# Time constant of the average arrival rate: spans a few arrivals, but is much shorter
# than a burst.
RATE_TIME_CONSTANT_SECONDS = 1.0
# Time constant of the fast average, which detects the start of a burst early.
FAST_RATE_TIME_CONSTANT_SECONDS = 0.5
# Time constant of the sustained average, which measures how high a burst was: about the
# objective of a job, within which the work of a few large jobs can be spread.
SUSTAINED_RATE_TIME_CONSTANT_SECONDS = 2.5
# Time constant with which cores that were added in a burst are given up again. Each
# release and return costs two moves, so a dip of a second or two is waited out.
BURST_CORES_TIME_CONSTANT_SECONDS = 4.0
# Declared task sizes are inexact, and cores can only be moved by whole instances.
HEADROOM_FACTOR = 1.25
# A burst starts when the arrival rate exceeds the first fraction of the pool's equal
# share of the fleet, and ends when it is below the second.
BURST_START_FRACTION = 0.25
BURST_END_FRACTION = 0.1
# Fraction of its equal share that a pool reserves for its first burst and doesn't lend,
# even if other pools are short of cores.
FIRST_BURST_RESERVE_FRACTION = 0.5
# A burst is past its peak once the arrival rate is below this fraction of the peak.
PAST_PEAK_FRACTION = 0.6
# Bounds the extrapolated rate: at most twice the present rate by the time that ordered
# cores are usable.
MAX_GROWTH_FACTOR = 2.0
# Fraction of its equal share that a pool keeps free for new work.
FREE_RESERVE_FRACTION = 0.15
# A move takes 1.5 s, and the instance list shows it up to 0.5 s later.
MOVE_LEAD_SECONDS = 2.3
# If a burst is later than forecast by more than this, its cores are released.
MAX_BURST_DELAY_SECONDS = 1.5
# A new owner rebuilds the history of this time, which covers a burst of every pool, in
# steps of the interval at which demand is observed.
RESTORED_SECONDS = 60.0
RESTORED_STEP_SECONDS = 0.25


@dataclass(slots=True)
class _PoolDemandHistory:
    # As last observed; None if the next observation is the first one of an owner.
    arrived_core_seconds: float | None
    arrived_squares: float
    equal_share_cores: float = 0.0
    # Averages of the arrival rate, in cores (core-seconds per second).
    rate: float = 0.0
    fast_rate: float = 0.0
    sustained_rate: float = 0.0
    # Average rate of the squared core-seconds of jobs, smoothed like `rate`.
    square_rate: float = 0.0
    is_in_burst: bool = False
    # Peaks of the sustained rate in the latest burst and in the one before, in cores.
    peak_rate: float = 0.0
    previous_peak_rate: float = 0.0
    # Cores that were wanted in the current burst, decaying with time.
    burst_cores: float = 0.0

    def is_past_peak(self) -> bool:
        """Return whether the rate has dropped well below the burst's peak."""
        return self.sustained_rate < PAST_PEAK_FRACTION * self.peak_rate

    def expected_rate(self) -> float:
        """Return the rate, in cores, at the time when cores ordered now are usable."""
        # Under linear growth, each average lags by its time constant, so the slope
        # follows from their difference. With few or very different jobs, the fast
        # average also deviates by chance; its standard error does not count as growth.
        sampling_error = math.sqrt(
            self.square_rate / (2 * FAST_RATE_TIME_CONSTANT_SECONDS)
        )
        certain_rate = max(self.rate, self.fast_rate - sampling_error)
        growth = certain_rate - self.rate
        growth /= RATE_TIME_CONSTANT_SECONDS - FAST_RATE_TIME_CONSTANT_SECONDS
        rate = certain_rate + growth * (
            FAST_RATE_TIME_CONSTANT_SECONDS + MOVE_LEAD_SECONDS
        )
        return min(rate, MAX_GROWTH_FACTOR * self.rate)


@dataclass(slots=True)
class PoolSizing:
    """Track the demand of each pool over time and derive its target size."""

    forecast: BurstForecast = field(default_factory=BurstForecast)
    _pools: dict[str, _PoolDemandHistory] = field(default_factory=dict)
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
                pool = self._pools[name] = _PoolDemandHistory(
                    demand.arrived_core_seconds, demand.arrived_squares
                )
            pool.equal_share_cores = equal_share_cores
            if previous_observed_at is not None and now > previous_observed_at:
                self._update_rates(name, pool, demand, now - previous_observed_at, now)
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
            # A burst needs at least the equal share.
            wanted_cores = max(
                wanted_cores,
                pool.equal_share_cores,
                baseline_cores + HEADROOM_FACTOR * pool.expected_rate(),
            )
            if not pool.is_past_peak():
                # The burst probably peaks as high as the previous one. Cores that were
                # added in this burst are kept during a short dip of the demand.
                cores_for_previous_peak = (
                    baseline_cores + HEADROOM_FACTOR * pool.previous_peak_rate
                )
                wanted_cores = pool.burst_cores = max(
                    wanted_cores, cores_for_previous_peak, pool.burst_cores
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

    def _update_rates(
        self,
        name: str,
        pool: _PoolDemandHistory,
        demand: PoolDemand,
        seconds: float,
        now: float,
    ) -> None:
        previous_core_seconds = pool.arrived_core_seconds
        previous_squares = pool.arrived_squares
        pool.arrived_core_seconds = demand.arrived_core_seconds
        pool.arrived_squares = demand.arrived_squares
        if previous_core_seconds is None:
            return
        new_core_seconds = demand.arrived_core_seconds - previous_core_seconds
        new_squares = demand.arrived_squares - previous_squares
        weight = _smoothing_weight(seconds, RATE_TIME_CONSTANT_SECONDS)
        pool.square_rate += weight * (new_squares / seconds - pool.square_rate)
        rate = new_core_seconds / seconds
        pool.rate += weight * (rate - pool.rate)
        pool.fast_rate += _smoothing_weight(
            seconds, FAST_RATE_TIME_CONSTANT_SECONDS
        ) * (rate - pool.fast_rate)
        pool.sustained_rate += _smoothing_weight(
            seconds, SUSTAINED_RATE_TIME_CONSTANT_SECONDS
        ) * (rate - pool.sustained_rate)
        pool.burst_cores *= math.exp(-seconds / BURST_CORES_TIME_CONSTANT_SECONDS)
        if (
            not pool.is_in_burst
            and pool.fast_rate > BURST_START_FRACTION * pool.equal_share_cores
        ):
            pool.is_in_burst = True
            pool.previous_peak_rate, pool.peak_rate = pool.peak_rate, 0.0
            pool.burst_cores = 0.0
            self.forecast.record_burst(name, now)
        elif (
            pool.is_in_burst
            and max(pool.rate, pool.fast_rate)
            < BURST_END_FRACTION * pool.equal_share_cores
        ):
            pool.is_in_burst = False
        if pool.is_in_burst:
            pool.peak_rate = max(pool.peak_rate, pool.sustained_rate)


def _smoothing_weight(seconds: float, time_constant_seconds: float) -> float:
    return 1.0 - math.exp(-seconds / time_constant_seconds)
