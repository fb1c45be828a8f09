"""Average the rate at which a pool's work arrives, and detect its bursts.

Load pattern: some pools get a few large jobs a second, others dozens of small ones. One
large job raises a fast average as much as a burst of small ones. Such a job gets cores
at once, but only what chance doesn't explain counts as a burst when the next one is
forecast.
"""

import math
from dataclasses import dataclass

from ..scheduling import PoolDemand

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
# A burst starts when the arrival rate exceeds the first fraction of the pool's equal
# share of the fleet, and ends when it is below the second.
BURST_START_FRACTION = 0.25
BURST_END_FRACTION = 0.1
# A burst is past its peak once the arrival rate is below this fraction of the peak.
PAST_PEAK_FRACTION = 0.6
# Until then, the sustained average shows little of a burst, and the peak of the
# previous burst is the better forecast.
PEAK_MEASURED_SECONDS = 3.0
# Bounds the extrapolated rate: at most twice the present rate by the time that ordered
# cores are usable.
MAX_GROWTH_FACTOR = 2.0
# A move takes 1.5 s, and the instance list shows it up to 0.5 s later.
MOVE_LEAD_SECONDS = 2.3


@dataclass(slots=True)
class PoolDemandHistory:
    """Hold a pool's arrival rates, in cores (core-seconds per second)."""

    # As last observed; None if the next observation is the first one of an owner.
    arrived_core_seconds: float | None
    arrived_squares: float
    equal_share_cores: float = 0.0
    rate: float = 0.0
    fast_rate: float = 0.0
    sustained_rate: float = 0.0
    # Average rate of the squared core-seconds of jobs, smoothed like `rate`.
    square_rate: float = 0.0
    # Begins early, since its first seconds matter most: one large job is enough.
    is_in_burst: bool = False
    # Whether more arrived in the latest burst than by chance.
    is_certain_burst: bool = False
    # Seconds since the latest burst began.
    burst_seconds: float = 0.0
    # Peaks of the sustained rate in the latest burst and in the one before, in cores.
    peak_rate: float = 0.0
    previous_peak_rate: float = 0.0
    # Cores that were wanted in the current burst, decaying with time.
    burst_cores: float = 0.0

    def is_past_peak(self) -> bool:
        """Return whether the rate has dropped well below the burst's peak."""
        return self.sustained_rate < PAST_PEAK_FRACTION * self.peak_rate

    def forecast_peak_rate(self) -> float:
        """Return how high the current burst probably rises, if its own rate is unknown.

        It is 0.0 for what may be a single large job.
        """
        if not self.is_certain_burst or self.burst_seconds > PEAK_MEASURED_SECONDS:
            return 0.0
        return self.previous_peak_rate

    def expected_rate(self) -> float:
        """Return the rate, in cores, at the time when cores ordered now are usable."""
        # Under linear growth, each average lags by its time constant, so the slope
        # follows from their difference.
        certain_rate = max(self.rate, self._certain_fast_rate())
        growth = certain_rate - self.rate
        growth /= RATE_TIME_CONSTANT_SECONDS - FAST_RATE_TIME_CONSTANT_SECONDS
        rate = certain_rate + growth * (
            FAST_RATE_TIME_CONSTANT_SECONDS + MOVE_LEAD_SECONDS
        )
        if self.previous_peak_rate:
            # Growth ends at the peak, and bursts of one pool are about equally high.
            rate = min(rate, max(certain_rate, self.previous_peak_rate))
        return min(rate, MAX_GROWTH_FACTOR * self.rate)

    def observe(self, demand: PoolDemand, seconds: float) -> bool:
        """Update the rates after `seconds`; return whether a burst becomes certain."""
        previous_core_seconds = self.arrived_core_seconds
        previous_squares = self.arrived_squares
        self.arrived_core_seconds = demand.arrived_core_seconds
        self.arrived_squares = demand.arrived_squares
        if previous_core_seconds is None:
            return False
        rate = (demand.arrived_core_seconds - previous_core_seconds) / seconds
        square_rate = (demand.arrived_squares - previous_squares) / seconds
        weight = _smoothing_weight(seconds, RATE_TIME_CONSTANT_SECONDS)
        fast_weight = _smoothing_weight(seconds, FAST_RATE_TIME_CONSTANT_SECONDS)
        slow_weight = _smoothing_weight(seconds, SUSTAINED_RATE_TIME_CONSTANT_SECONDS)
        self.rate += weight * (rate - self.rate)
        self.square_rate += weight * (square_rate - self.square_rate)
        self.fast_rate += fast_weight * (rate - self.fast_rate)
        self.sustained_rate += slow_weight * (rate - self.sustained_rate)
        self.burst_seconds += seconds
        self.burst_cores *= math.exp(-seconds / BURST_CORES_TIME_CONSTANT_SECONDS)
        becomes_certain = self._update_burst()
        if self.is_in_burst:
            self.peak_rate = max(self.peak_rate, self.sustained_rate)
        return becomes_certain

    def _update_burst(self) -> bool:
        start_rate = BURST_START_FRACTION * self.equal_share_cores
        end_rate = BURST_END_FRACTION * self.equal_share_cores
        if not self.is_in_burst and self.fast_rate > start_rate:
            self.is_in_burst = True
            self.is_certain_burst = False
            self.previous_peak_rate, self.peak_rate = self.peak_rate, 0.0
            self.burst_cores = self.burst_seconds = 0.0
        elif self.is_in_burst and max(self.rate, self.fast_rate) < end_rate:
            self.is_in_burst = False
            if not self.is_certain_burst:
                # The height of a single job forecasts no burst.
                self.peak_rate = self.previous_peak_rate
        if (
            not self.is_in_burst
            or self.is_certain_burst
            or self._certain_fast_rate() <= start_rate
        ):
            return False
        self.is_certain_burst = True
        return True

    def _certain_fast_rate(self) -> float:
        # With few or very different jobs, the fast average deviates by chance. Its
        # standard error counts neither as growth nor as a burst to forecast others by.
        variance = self.square_rate / (2 * FAST_RATE_TIME_CONSTANT_SECONDS)
        return self.fast_rate - math.sqrt(variance)


def _smoothing_weight(seconds: float, time_constant_seconds: float) -> float:
    return 1.0 - math.exp(-seconds / time_constant_seconds)
