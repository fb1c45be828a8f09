"""Test when a rising arrival rate counts as growth of the demand."""

import pytest

from baobablane.scheduling import PoolDemand
from baobablane.sizing import PoolSizing

from .burst_model import BURST_SECONDS, EQUAL_SHARE_CORES, STEP_SECONDS


class TestGrowth:
    """Test a burst whose demand grows steadily."""

    def simulate(self, job_cores, jobs_per_second):
        """Grow the arrival rate for 3 s; return the wanted cores and the final rate."""
        sizing = PoolSizing()
        arrived, jobs, now = 0.0, 0, 0.0
        while now < 3.0:
            now += STEP_SECONDS
            count = round(jobs_per_second * now * STEP_SECONDS)
            jobs += count
            arrived += count * job_cores
            squares = jobs * job_cores**2
            demand = PoolDemand(EQUAL_SHARE_CORES, 10.0, 0.0, arrived, squares)
            sizing.observe({"a": demand}, EQUAL_SHARE_CORES, now)
        rate = jobs_per_second * now * job_cores
        return sizing.wanted_cores("a", demand, now), rate

    def test_growth_is_extrapolated_to_the_arrival_of_ordered_cores(self):
        wanted, rate = self.simulate(4.0, 40.0)
        assert wanted > 1.3 * rate

    def test_few_large_jobs_do_not_count_as_growth(self):
        few, rate = self.simulate(100.0, 1.6)
        many, _ = self.simulate(4.0, 40.0)
        assert few < many
        assert rate == pytest.approx(480.0)


class TestLargeJobs:
    """Test a burst of small jobs with a few very large ones among them.

    The cores wanted for it used to be several times the ones that ever ran a task:
    each large job counted as growth of the demand and as the height of the burst.
    """

    SMALL_RATE = 200.0
    LARGE_JOB = 400.0

    def simulate(self):
        """Return the wanted cores after a large job, and shortly before the next burst.

        The burst lasts for 4.5 s; a large job arrives after 3 s.
        """
        sizing = PoolSizing()
        arrived = squares = 0.0
        after_large_job = []
        for number in range(1, round(BURST_SECONDS / STEP_SECONDS) + 1):
            now = number * STEP_SECONDS
            arrived += self.SMALL_RATE * STEP_SECONDS
            squares += 4.0 * self.SMALL_RATE * STEP_SECONDS
            if now == 3.0:
                arrived += self.LARGE_JOB
                squares += self.LARGE_JOB**2
            demand = PoolDemand(EQUAL_SHARE_CORES, 10.0, 0.0, arrived, squares)
            sizing.observe({"a": demand}, EQUAL_SHARE_CORES, now)
            if now >= 3.0:
                after_large_job.append(sizing.wanted_cores("a", demand, now))
        return after_large_job, sizing

    def test_large_job_is_no_growth(self):
        after_large_job, _ = self.simulate()
        work = self.SMALL_RATE + self.LARGE_JOB
        assert max(after_large_job) < 1.25 * work + 0.15 * EQUAL_SHARE_CORES + 10.0

    def test_large_job_is_not_the_height_of_the_burst(self):
        _, sizing = self.simulate()
        mean_rate = self.SMALL_RATE + self.LARGE_JOB / BURST_SECONDS
        assert sizing._pools["a"].peak_rate < 1.25 * mean_rate
