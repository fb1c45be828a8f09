"""Decide how many cores each pool should have.

Load pattern: a pool is asked for several times its mean in its turn, more than its own
instances hold, and for a twentieth in between. It gets the cores for the work that
arrives and waits, shortly before its turn where that can be foreseen, and keeps little
in between.
"""

import math
from dataclasses import dataclass, field

from ..scheduling import PoolDemand
from ._forecast import TurnForecast
from ._target import PoolTarget

# Time constant of the rate at which work arrives, in seconds: a few arrivals long, and
# short against a turn.
RATE_SECONDS = 1.0
# The same for the beginning of a turn, which must be seen at once.
RISE_SECONDS = 0.5
# Declared sizes are off, and cores are given by whole instances.
MARGIN = 1.25
# Demand has risen where work arrives for this part of a pool's even part of the fleet,
# and has fallen below the other.
HIGH_PART = 0.25
LOW_PART = 0.1
# Of its even part, what a pool holds for its first turn even while another lacks it.
HELD_PART = 0.5
# A turn is past its peak once work arrives for less than this part of the peak.
PAST_PEAK_PART = 0.6
# Work may have been growing for so long that it will have doubled when cores come.
MOST_GROWTH = 2.0
# Cores that a pool keeps free for what comes next, as a part of its even part.
RESERVE_PART = 0.15
# A move takes 1.5 s and shows in the lists up to half a second later.
LEAD_SECONDS = 2.3
# How much later than foreseen a rise may come before its cores are given back.
LATE_SECONDS = 1.5


@dataclass(slots=True)
class _Pool:
    arrived: float
    jobs: int
    even_cores: float = 0.0
    rate: float = 0.0
    fast_rate: float = 0.0
    # Jobs a second, over the same time as the rate.
    job_rate: float = 0.0
    is_high: bool = False
    # Of its latest turn, and of the one before, in cores.
    peak_rate: float = 0.0
    last_peak_rate: float = 0.0
    # Most cores that were wanted in the present turn.
    turn_cores: float = 0.0

    def is_past_peak(self) -> bool:
        """Return whether the present turn is ending."""
        return self.rate < PAST_PEAK_PART * self.peak_rate

    def coming_rate(self) -> float:
        """Return the rate to be expected when cores that are ordered now arrive."""
        # Both averages trail a steady growth by their time constants. Of few jobs the
        # faster one strays from the rate by chance.
        jobs = 2 * RISE_SECONDS * self.job_rate
        chance = self.fast_rate / math.sqrt(max(1.0, jobs))
        growth = max(0.0, self.fast_rate - chance - self.rate)
        growth /= RATE_SECONDS - RISE_SECONDS
        rate = self.fast_rate + growth * (RISE_SECONDS + LEAD_SECONDS)
        return max(self.rate, min(rate, MOST_GROWTH * self.rate))


@dataclass(slots=True)
class PoolSizing:
    """Hold what is known of each pool's demand over time."""

    forecast: TurnForecast = field(default_factory=TurnForecast)
    _pools: dict[str, _Pool] = field(default_factory=dict)
    _observed_at: float | None = None

    def observe(
        self, demands: dict[str, PoolDemand], even_cores: float, now: float
    ) -> None:
        """Apply the pools' demand as it is now, and each pool's even part of cores."""
        before = self._observed_at
        self._observed_at = now
        for name, demand in demands.items():
            pool = self._pools.get(name)
            if pool is None:
                pool = self._pools[name] = _Pool(
                    demand.arrived_core_seconds, demand.arrived_jobs
                )
            pool.even_cores = even_cores
            if before is not None and now > before:
                self._apply_rate(name, pool, demand, now - before, now)
        for name in set(self._pools) - set(demands):
            del self._pools[name]

    def target(self, name: str, demand: PoolDemand, now: float) -> PoolTarget:
        """Return the cores that a pool should have, and what it can't lend of them."""
        wanted = self.wanted_cores(name, demand, now)
        if self.forecast.has_risen(name):
            return PoolTarget(wanted, wanted)
        # What it holds for a first turn that may be far off is lent in part to one
        # that is on.
        pool = self._pools[name]
        needed = demand.lasting_cores + MARGIN * max(pool.rate, demand.due_cores)
        held = HELD_PART * pool.even_cores
        return PoolTarget(wanted, min(wanted, max(needed, held)))

    def wanted_cores(self, name: str, demand: PoolDemand, now: float) -> float:
        """Return the cores that a pool should have."""
        pool = self._pools[name]
        kept = demand.lasting_cores + RESERVE_PART * pool.even_cores
        wanted = kept + MARGIN * max(pool.rate, demand.due_cores)
        if pool.is_high:
            # A turn asks for the even part at least.
            wanted = max(wanted, pool.even_cores, kept + MARGIN * pool.coming_rate())
            if not pool.is_past_peak():
                # It will ask for as much as the turn before; what was moved here for a
                # crest of this turn is not sent back for the trough after it.
                last = kept + MARGIN * pool.last_peak_rate
                wanted = pool.turn_cores = max(wanted, last, pool.turn_cores)
        is_expected = self._is_expected(name, now)
        if not self.forecast.has_risen(name):
            # Its first turn can't be foreseen, and its first seconds count most.
            return max(wanted, pool.even_cores)
        return max(wanted, kept + MARGIN * pool.peak_rate) if is_expected else wanted

    def _is_expected(self, name: str, now: float) -> bool:
        at = self.forecast.next_rise()
        if at is None or not at - LEAD_SECONDS <= now <= at + LATE_SECONDS:
            return False
        return name in self.forecast.next_pools(set(self._pools))

    def _apply_rate(
        self, name: str, pool: _Pool, demand: PoolDemand, seconds: float, now: float
    ) -> None:
        arrived = demand.arrived_core_seconds - pool.arrived
        pool.arrived = demand.arrived_core_seconds
        job_rate = (demand.arrived_jobs - pool.jobs) / seconds
        pool.jobs = demand.arrived_jobs
        pool.job_rate += _weight(seconds, RATE_SECONDS) * (job_rate - pool.job_rate)
        rate = arrived / seconds
        pool.rate += _weight(seconds, RATE_SECONDS) * (rate - pool.rate)
        pool.fast_rate += _weight(seconds, RISE_SECONDS) * (rate - pool.fast_rate)
        if not pool.is_high and pool.fast_rate > HIGH_PART * pool.even_cores:
            pool.is_high = True
            pool.last_peak_rate, pool.peak_rate = pool.peak_rate, 0.0
            pool.turn_cores = 0.0
            self.forecast.rose(name, now)
        elif (
            pool.is_high and max(pool.rate, pool.fast_rate) < LOW_PART * pool.even_cores
        ):
            pool.is_high = False
        if pool.is_high:
            pool.peak_rate = max(pool.peak_rate, pool.rate)


def _weight(seconds: float, time_constant: float) -> float:
    return 1.0 - math.exp(-seconds / time_constant)
