"""Test how long appends wait for a response, and which jobs are rejected."""

from baobablane_daemon.jobs._append_forecast import MAX_ACCEPT_SECONDS, AppendForecast


class TestSlowStore:
    """Test a store that takes 60 times as long as usual."""

    def test_repetitions_follow_the_response_time_and_return(self):
        """Guards against repetitions that lengthen the queue of a slow store."""
        forecast = AppendForecast()
        assert forecast.repeat_delay(0.0) == 0.25
        forecast.finish(forecast.start(0.0), True, 0.4)
        assert forecast.repeat_delay(0.5) == 1.6
        assert forecast.max_in_flight(0.5) == 2
        assert forecast.repeat_delay(4.0) == 0.25
        assert forecast.max_in_flight(4.0) == 8


class TestRejection:
    """Test the prediction by which jobs are rejected."""

    def test_job_is_accepted_while_the_store_is_fast(self):
        """Guards against rejections without need."""
        forecast = AppendForecast()
        for n in range(20):
            forecast.finish(forecast.start(n * 0.01), True, n * 0.01 + 0.02)
        assert forecast.accept_seconds(0.3) < 0.05

    def test_job_behind_unanswered_appends_is_rejected(self):
        """Guards against callers that wait behind appends without a response."""
        forecast = AppendForecast()
        forecast.finish(forecast.start(0.0), True, 2.0)
        forecast.start(2.0)
        assert forecast.accept_seconds(2.0) < MAX_ACCEPT_SECONDS
        forecast.start(2.0)
        assert forecast.accept_seconds(2.5) > MAX_ACCEPT_SECONDS
