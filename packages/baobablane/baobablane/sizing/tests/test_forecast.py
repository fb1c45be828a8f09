"""Test the forecast of bursts."""

import pytest

from baobablane.sizing import BurstForecast

from .burst_model import POOLS


class TestForecast:
    """Test when the next burst is forecast, and in which pool."""

    def test_repeated_starts_of_one_pool_count_once(self):
        forecast = BurstForecast()
        for at in (0.0, 1.0, 2.0):
            forecast.record_burst("a", at)
        assert forecast.next_burst_start() is None

    def test_next_burst_is_forecast_after_the_median_interval(self):
        forecast = BurstForecast()
        for at, pool in ((0.0, "a"), (4.0, "b"), (9.0, "c"), (13.0, "d")):
            forecast.record_burst(pool, at)
        assert forecast.next_burst_start() == pytest.approx(17.0)
        assert forecast.next_burst_pools(set(POOLS)) == {"a"}

    def test_pools_without_a_burst_are_forecast_first(self):
        forecast = BurstForecast()
        forecast.record_burst("a", 0.0)
        forecast.record_burst("b", 4.0)
        assert forecast.next_burst_pools(set(POOLS)) == {"c", "d"}
