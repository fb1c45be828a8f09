"""Test the sizing of a new owner, between bursts and in the middle of one."""

from baobablane.sizing import (
    Arrival,
    PoolSizing,
    decode_burst_starts,
    encode_burst_starts,
)

from .burst_model import (
    BURST_SECONDS,
    EQUAL_SHARE_CORES,
    POOLS,
    STEP_SECONDS,
    make_demand,
    simulate_bursts,
)


class TestTakeover:
    """Test a new owner that restores the burst starts of an earlier one."""

    def test_restored_bursts_do_not_count_as_first_bursts_again(self):
        before = PoolSizing()
        simulate_bursts(before, 3)
        recorded = decode_burst_starts(
            encode_burst_starts(before.forecast.burst_starts())
        )
        after = PoolSizing()
        after.forecast.restore(recorded)
        demands = {pool: make_demand() for pool in POOLS}
        after.observe(demands, EQUAL_SHARE_CORES, 14.0)
        assert after.wanted_cores("a", demands["a"], 14.0) < EQUAL_SHARE_CORES / 2
        assert after.wanted_cores("d", demands["d"], 14.0) >= EQUAL_SHARE_CORES


class TestTakeoverInABurst:
    """Test a new owner that takes over while a pool's demand bursts.

    It used to know no rates, and gave up idle instances that the burst needed a second
    later.
    """

    NOW = 4 * BURST_SECONDS + 2.5
    JOBS_PER_STEP = 500

    def arrivals(self, until):
        """Return many small jobs in each step, as in `simulate_bursts`."""
        arrivals = []
        for number in range(round(until / STEP_SECONDS)):
            at = number * STEP_SECONDS
            bursting_pool = POOLS[int(at / BURST_SECONDS) % len(POOLS)]
            for pool in POOLS:
                rate = 170.0 if pool == bursting_pool else 170.0 / 20
                job = Arrival(at, pool, rate * STEP_SECONDS / self.JOBS_PER_STEP)
                arrivals += [job] * self.JOBS_PER_STEP
        return arrivals

    def take_over(self):
        """Return the sizing of the earlier owner and that of the new one."""
        before = PoolSizing()
        simulate_bursts(before, self.NOW / BURST_SECONDS)
        after = PoolSizing()
        after.forecast.restore(before.forecast.burst_starts())
        after.restore(self.arrivals(self.NOW), POOLS, EQUAL_SHARE_CORES, self.NOW)
        return before, after

    def test_cores_for_the_burst_are_still_wanted(self):
        _, after = self.take_over()
        wanted = {p: after.wanted_cores(p, make_demand(), self.NOW) for p in POOLS}
        assert wanted["a"] >= 1.25 * 170.0
        # The burst of `b` comes next, and none of the others is near.
        assert max(wanted["c"], wanted["d"]) < EQUAL_SHARE_CORES / 2

    def test_recorded_burst_starts_are_kept(self):
        before, after = self.take_over()
        assert after.forecast.burst_starts() == before.forecast.burst_starts()

    def test_jobs_known_at_the_takeover_do_not_arrive_again(self):
        _, after = self.take_over()
        wanted = after.wanted_cores("a", make_demand(), self.NOW)
        known = {pool: make_demand(arrived=5_000.0) for pool in POOLS}
        after.observe(known, EQUAL_SHARE_CORES, self.NOW + STEP_SECONDS)
        assert after.wanted_cores("a", make_demand(), self.NOW) <= wanted

    def test_without_arrivals_there_is_no_burst(self):
        sizing = PoolSizing()
        sizing.restore([], POOLS, EQUAL_SHARE_CORES, self.NOW)
        assert sizing.forecast.burst_starts() == []
        assert sizing.wanted_cores("a", make_demand(), self.NOW) == EQUAL_SHARE_CORES
