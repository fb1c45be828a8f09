"""Test that queries read what they need, however seldom a view is read otherwise.

Each instance used to read every record as it came, so its calls to the store grew with
the number of tasks started.
"""

import asyncio

import pytest
from baobablane_platform import StoreClient

from baobablane_daemon.jobs import TopicTail, _views
from baobablane_daemon.tasks import DecisionLog

from .platform_deployment import JOB, run_deployment

# Longer than any step here takes, so that only a query's own read finds a record.
LONG_PAUSE_SECONDS = 600.0


class TestQueries:
    """Test an instance that is not the owner and pauses for long between reads."""

    @pytest.fixture(autouse=True)
    def pause_for_long(self, monkeypatch):
        """Let all views but the owner's view of jobs pause for long."""
        monkeypatch.setattr(_views, "READ_PAUSE_SECONDS", LONG_PAUSE_SECONDS)
        monkeypatch.setattr(_views, "CANDIDATE_READ_PAUSE_SECONDS", 0.05)

    async def test_query_finds_a_job_accepted_elsewhere(self):
        async with run_deployment(2) as deployment:
            first, second = deployment.entries
            assert await deployment.submit(first) == 200
            assert await deployment.state(second) is not None

    async def test_query_finds_the_end_of_a_job(self):
        async with run_deployment(2) as deployment:
            first, second = deployment.entries
            await deployment.submit(first)
            await deployment.wait_for_state(second, "completed")


class TestRefresh:
    """Test reads that are shared by concurrent queries."""

    async def test_concurrent_refreshes_share_one_read(self):
        async with run_deployment() as deployment:
            store = StoreClient(deployment.platform.address)
            tail = TopicTail(store, DecisionLog("i"), "keyed.jobs", lambda record: None)
            await tail.catch_up()
            before = store.request_count
            await asyncio.gather(*(tail.refresh() for _ in range(10)))
            assert store.request_count == before + 1
            await tail.refresh()
            assert store.request_count == before + 2
            await store.close()

    async def test_query_is_answered_from_the_view_while_the_store_is_down(self):
        async with run_deployment() as deployment:
            (entry,) = deployment.entries
            await deployment.submit(entry, milliseconds=600_000)
            await deployment.wait_for_state(entry, "running")
            deployment.platform.store.switches.is_down = True
            assert await deployment.state(entry, JOB) == "running"
