"""Test that accounts' shares cost a burst without any flood nothing."""

from collections import Counter

import pytest

from baobablane.scheduling._excess_jobs import ExcessJobs

from .burst_model import fractions_by_outcome
from .fleet_model import make_job

# One burst has about 160 jobs.
SEEDS = (1, 2, 3, 4)


def mean_fractions(divides_by_account):
    """Return the fractions of the jobs by outcome over all seeds."""
    totals = Counter()
    for seed in SEEDS:
        totals.update(fractions_by_outcome(seed, divides_by_account))
    return {name: total / len(SEEDS) for name, total in totals.items()}


class TestBurst:
    """Test a burst in which no account sends more than twice its usual rate."""

    def test_as_many_jobs_are_in_time_as_without_shares(self):
        """Guards against begun jobs that new ones of other accounts overtake."""
        shared, usual = mean_fractions(True), mean_fractions(False)
        assert shared["in time"] >= usual["in time"] - 0.01
        assert shared["useless"] <= usual["useless"] + 0.01


class TestExcessJobs:
    """Test which jobs are beyond their account's rate."""

    @pytest.mark.parametrize(("rate", "is_flood"), [(2, False), (20, True)])
    def test_only_a_flood_has_excess_jobs(self, rate, is_flood):
        """Guards against usual bursts that count as floods, and late detection."""
        excess = self.jobs_in_excess(rate)
        # Of 160 jobs, 4 use the allowance, and 7 more are within the rate.
        assert len(excess) == (160 - 11 if is_flood else 0)

    def test_no_job_is_excess_after_the_flood(self):
        """Guards against an account that is set back for long after its flood."""
        jobs = ExcessJobs()
        add_jobs(jobs, [n / 20 for n in range(160)], "a")
        add_jobs(jobs, [12 + n / 2 for n in range(16)], "b")
        assert not any(f"b{n}" in jobs for n in range(16))

    def jobs_in_excess(self, rate):
        """Return the excess jobs of 8 s at a multiple of an account's rate."""
        jobs = ExcessJobs()
        names = add_jobs(jobs, [n / rate for n in range(8 * rate)], "a")
        return [name for name in names if name in jobs]


def add_jobs(jobs, times, prefix):
    """Add jobs of an account with a weight of 1, and return their names."""
    names = [f"{prefix}{number}" for number in range(len(times))]
    for name, at in zip(names, times, strict=True):
        jobs.record_arrival(make_job(name=name, accepted_ms=round(at * 1000)), 1.0)
    return names
