"""Test how many cores pools get while demand bursts in one pool after another."""

from baobablane.sizing import PoolSizing

from .burst_model import (
    BURST_SECONDS,
    EQUAL_SHARE_CORES,
    POOLS,
    STEP_SECONDS,
    make_demand,
    simulate_bursts,
)


class TestBursts:
    """Test bursts of about 3.5 times the mean, and a twentieth of the peak between."""

    def test_bursting_pool_gets_the_cores_for_arriving_work(self):
        wanted = simulate_bursts(PoolSizing(), 4)
        late_in_burst = [row for row in wanted if row[0] % BURST_SECONDS > 2.5]
        assert all(
            cores[bursting_pool] >= EQUAL_SHARE_CORES
            for _, bursting_pool, cores in late_in_burst
        )

    def test_pool_releases_cores_after_its_burst(self):
        wanted = simulate_bursts(PoolSizing(), 4)
        # Two bursts later, well before cores are moved for the next burst of this pool.
        cores = [row[2]["a"] for row in wanted if 10.0 <= row[0] < 13.0]
        assert max(cores) < EQUAL_SHARE_CORES / 2

    def test_pool_keeps_its_equal_share_until_its_first_burst(self):
        wanted = simulate_bursts(PoolSizing(), 3)
        assert all(cores["d"] >= EQUAL_SHARE_CORES for _, _, cores in wanted)

    def test_forecast_burst_gets_cores_before_it_starts(self):
        wanted = simulate_bursts(PoolSizing(), 5)
        before_second_burst = [
            cores["a"]
            for now, _, cores in wanted
            if 4 * BURST_SECONDS - 1.5 <= now < 4 * BURST_SECONDS
        ]
        assert min(before_second_burst) > 150.0

    def test_small_pool_of_a_new_owner_gets_its_equal_share(self):
        sizing = PoolSizing()
        demand = make_demand(cores=64.0)
        sizing.observe({"a": demand}, EQUAL_SHARE_CORES, 0.0)
        assert sizing.wanted_cores("a", demand, 0.0) >= EQUAL_SHARE_CORES

    def test_due_work_gets_cores_outside_of_bursts(self):
        sizing = PoolSizing()
        simulate_bursts(sizing, 4)
        demand = make_demand(arrived=1e4, due=300.0)
        assert sizing.wanted_cores("a", demand, 60.0) > 300.0


class TestSecondBurst:
    """Test the second burst of a pool."""

    def test_previous_peak_is_wanted_from_the_start_of_the_burst(self):
        sizing = PoolSizing()
        wanted = simulate_bursts(sizing, 5, peak=400.0)
        in_burst = [
            cores["a"]
            for now, _, cores in wanted
            if 4 * BURST_SECONDS + 0.5 <= now < 5 * BURST_SECONDS
        ]
        assert min(in_burst) > 400.0


class TestLowerBurst:
    """Test a burst that is much lower than the previous one of its pool.

    Until it ended, the pool kept the cores of the previous burst, most of them idle.
    """

    PREVIOUS_PEAK = 300.0
    PEAK = 120.0

    def simulate(self, seconds):
        """Return the wanted cores after so many seconds of the lower burst."""
        sizing = PoolSizing()
        simulate_bursts(sizing, 4, peak=self.PREVIOUS_PEAK)
        arrived = sizing._pools["a"].arrived_core_seconds
        now = 4 * BURST_SECONDS
        for _ in range(round(seconds / STEP_SECONDS)):
            arrived += self.PEAK * STEP_SECONDS
            now += STEP_SECONDS
            demand = make_demand(arrived)
            sizing.observe({"a": demand}, EQUAL_SHARE_CORES, now)
            wanted = sizing.wanted_cores("a", demand, now)
        return wanted

    def test_previous_peak_is_wanted_while_the_burst_is_young(self):
        assert self.simulate(1.5) > self.PREVIOUS_PEAK

    def test_cores_follow_the_burst_once_its_rate_is_known(self):
        # The cores of its beginning decay with a time constant of 4 s.
        assert self.simulate(9.0) <= EQUAL_SHARE_CORES

    def test_pool_past_its_peak_gives_up_the_equal_share(self):
        sizing = PoolSizing()
        simulate_bursts(sizing, 5, peak=self.PREVIOUS_PEAK)
        history = sizing._pools["a"]
        now = 5 * BURST_SECONDS
        demands = {p: make_demand(sizing._pools[p].arrived_core_seconds) for p in POOLS}
        while not history.is_past_peak():
            now += STEP_SECONDS
            sizing.observe(demands, EQUAL_SHARE_CORES, now)
        history.rate = history.fast_rate = EQUAL_SHARE_CORES / 4
        assert history.is_in_burst
        assert sizing.wanted_cores("a", demands["a"], now) < EQUAL_SHARE_CORES
