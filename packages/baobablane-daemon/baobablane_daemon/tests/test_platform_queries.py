"""Test that an instance which seldom reads new jobs answers queries for them."""

import pytest

from baobablane_daemon.jobs import _views

from .platform_deployment import run_deployment

# Longer than any step here takes, so that only a query's own read finds a job.
LONG_PAUSE_SECONDS = 600.0


class TestQueries:
    """Test an instance that is not the owner and pauses for long between reads."""

    @pytest.fixture(autouse=True)
    def pause_for_long(self, monkeypatch):
        """Let all views of jobs but the owner's pause for long."""
        monkeypatch.setattr(_views, "JOBS_PAUSE_SECONDS", LONG_PAUSE_SECONDS)

    async def test_query_finds_a_job_accepted_elsewhere(self):
        async with run_deployment(2) as deployment:
            first, second = deployment.entries
            assert await deployment.submit(first) == 200
            assert await deployment.state(second) is not None

    async def test_query_finds_the_end_of_a_job_accepted_elsewhere(self):
        async with run_deployment(2) as deployment:
            first, second = deployment.entries
            await deployment.submit(first)
            await deployment.wait_for_state(second, "completed")
