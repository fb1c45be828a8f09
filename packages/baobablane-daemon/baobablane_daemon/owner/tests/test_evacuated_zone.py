"""Test starts that were planned before the evacuation of their zone was read."""

import math

import pytest
from baobablane.scheduling import LeaseTracker, StartOrder, StartResult

from baobablane_daemon.decision_log import DecisionLog
from baobablane_daemon.jobs import boot_seconds
from baobablane_daemon.owner._order_sender import OrderSender
from baobablane_daemon.owner._upstream_poller import UpstreamPoller

from .test_stale_owner import TASK, make_scheduler


class DeadlineClient:
    """Record the deadline of each start in ms."""

    async def start(self, entry, order, token, deadline_ms):
        """Record a start."""
        self.deadline_ms = deadline_ms
        return StartResult.STARTED


@pytest.mark.parametrize(
    ("window", "expected_ms"), [(0.0, None), (1.0, 980), (math.inf, 3800)]
)
async def test_window_bounds_a_start_in_flight(window, expected_ms):
    """Guard against a start that is sent or carried out in a closed zone."""
    client, scheduler = DeadlineClient(), make_scheduler()
    scheduler.state.upstreams["u"].lease = LeaseTracker(boot_seconds(), 0)
    log = DecisionLog("entry-1")
    rest = (lambda: None, lambda seconds: True)
    pollers = {"u": UpstreamPoller("u", 1, scheduler, client, log, *rest)}
    sender = OrderSender(
        scheduler, pollers, client, "", log, 1, *rest, lambda zone: window
    )
    result = await sender._try_start(StartOrder(TASK, 1, "", "", "u", 1))
    await sender.close()
    if expected_ms is None:
        assert result is StartResult.LATE
    else:
        assert client.deadline_ms == pytest.approx(expected_ms, abs=300)
