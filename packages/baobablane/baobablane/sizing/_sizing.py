"""Decide how many cores each pool should have.

Load pattern: a pool is asked for several times its mean in its turn, more than its own
instances hold, and for a twentieth in between. It gets the cores for the work that
arrives and waits, shortly before its turn where that can be foreseen, and keeps little
in between.
"""

import math
from dataclasses import dataclass, field

from ..scheduling import PoolDemand
from ._forecast import BurstForecast
from ._target import PoolTarget

# Time constant of the rate at which work arrives, in seconds: a few arrivals long, and
# short against a turn.
RATE_TIME_CONSTANT_SECONDS = 1.0
# The same for the beginning of a turn, which must be seen at once.
FAST_RATE_TIME_CONSTANT_SECONDS = 0.5
# Declared sizes are off, and cores are given by whole instances.
HEADROOM_FACTOR = 1.25
# Demand has risen where work arrives for this part of a pool's even part of the fleet,
# and has fallen below the other.
BURST_START_FRACTION = 0.25
BURST_END_FRACTION = 0.1
# Of its even part, what a pool holds for its first turn even while another lacks it.
FIRST_BURST_RESERVE_FRACTION = 0.5
# A turn is past its peak once work arrives for less than this part of the peak.
PAST_PEAK_FRACTION = 0.6
# Work may have been growing for so long that it will have doubled when cores come.
MAX_GROWTH_FACTOR = 2.0
# Cores that a pool keeps free for what comes next, as a part of its even part.
FREE_RESERVE_FRACTION = 0.15
# A move takes 1.5 s and shows in the lists up to half a second later.
MOVE_LEAD_SECONDS = 2.3
# How much later than foreseen a rise may come before its cores are given back.
MAX_BURST_DELAY_SECONDS = 1.5


@dataclass(slots=True)
class _PoolDemandHistory:
    arrived_core_seconds: float
    arrived_jobs: int
    equal_share_cores: float = 0.0
    rate: float = 0.0
    fast_rate: float = 0.0
    # Jobs a second, over the same time as the rate.
    job_rate: float = 0.0
    is_in_burst: bool = False
    # Of its latest turn, and of the one before, in cores.
    peak_rate: float = 0.0
    previous_peak_rate: float = 0.0
    # Most cores that were wanted in the present turn.
    burst_cores: float = 0.0

    def is_past_peak(self) -> bool:
        """Return whether the present turn is ending."""
        return self.rate < PAST_PEAK_FRACTION * self.peak_rate

    def expected_rate(self) -> float:
        """Return the rate to be expected when cores that are ordered now arrive."""
        # Both averages trail a steady growth by their time constants. Of few jobs the
        # faster one strays from the rate by chance.
        sampled_jobs = 2 * FAST_RATE_TIME_CONSTANT_SECONDS * self.job_rate
        sampling_error = self.fast_rate / math.sqrt(max(1.0, sampled_jobs))
        growth = max(0.0, self.fast_rate - sampling_error - self.rate)
        growth /= RATE_TIME_CONSTANT_SECONDS - FAST_RATE_TIME_CONSTANT_SECONDS
        rate = self.fast_rate + growth * (
            FAST_RATE_TIME_CONSTANT_SECONDS + MOVE_LEAD_SECONDS
        )
        return max(self.rate, min(rate, MAX_GROWTH_FACTOR * self.rate))


@dataclass(slots=True)
class PoolSizing:
    """Hold what is known of each pool's demand over time."""

    forecast: BurstForecast = field(default_factory=BurstForecast)
    _pools: dict[str, _PoolDemandHistory] = field(default_factory=dict)
    _observed_at: float | None = None

    def observe(
        self, demands: dict[str, PoolDemand], equal_share_cores: float, now: float
    ) -> None:
        """Apply the pools' demand as it is now, and each pool's even part of cores."""
        previous_observed_at = self._observed_at
        self._observed_at = now
        for name, demand in demands.items():
            pool = self._pools.get(name)
            if pool is None:
                pool = self._pools[name] = _PoolDemandHistory(
                    demand.arrived_core_seconds, demand.arrived_jobs
                )
            pool.equal_share_cores = equal_share_cores
            if previous_observed_at is not None and now > previous_observed_at:
                self._update_rates(name, pool, demand, now - previous_observed_at, now)
        for name in set(self._pools) - set(demands):
            del self._pools[name]

    def target(self, name: str, demand: PoolDemand, now: float) -> PoolTarget:
        """Return the cores that a pool should have, and what it can't lend of them."""
        wanted_cores = self.wanted_cores(name, demand, now)
        if self.forecast.has_recorded_burst(name):
            return PoolTarget(wanted_cores, wanted_cores)
        # What it holds for a first turn that may be far off is lent in part to one
        # that is on.
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
            # A turn asks for the even part at least.
            wanted_cores = max(
                wanted_cores,
                pool.equal_share_cores,
                baseline_cores + HEADROOM_FACTOR * pool.expected_rate(),
            )
            if not pool.is_past_peak():
                # It will ask for as much as the turn before; what was moved here for a
                # crest of this turn is not sent back for the trough after it.
                cores_for_previous_peak = (
                    baseline_cores + HEADROOM_FACTOR * pool.previous_peak_rate
                )
                wanted_cores = pool.burst_cores = max(
                    wanted_cores, cores_for_previous_peak, pool.burst_cores
                )
        is_burst_expected = self._is_burst_expected(name, now)
        if not self.forecast.has_recorded_burst(name):
            # Its first turn can't be foreseen, and its first seconds count most.
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
        new_core_seconds = demand.arrived_core_seconds - pool.arrived_core_seconds
        pool.arrived_core_seconds = demand.arrived_core_seconds
        job_rate = (demand.arrived_jobs - pool.arrived_jobs) / seconds
        pool.arrived_jobs = demand.arrived_jobs
        pool.job_rate += _smoothing_weight(seconds, RATE_TIME_CONSTANT_SECONDS) * (
            job_rate - pool.job_rate
        )
        rate = new_core_seconds / seconds
        pool.rate += _smoothing_weight(seconds, RATE_TIME_CONSTANT_SECONDS) * (
            rate - pool.rate
        )
        pool.fast_rate += _smoothing_weight(
            seconds, FAST_RATE_TIME_CONSTANT_SECONDS
        ) * (rate - pool.fast_rate)
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
            pool.peak_rate = max(pool.peak_rate, pool.rate)


def _smoothing_weight(seconds: float, time_constant_seconds: float) -> float:
    return 1.0 - math.exp(-seconds / time_constant_seconds)
