"""Test stops for which an upstream takes no connection while it renews leases."""

import asyncio
import math

import pytest
from baobablane.deployment import NO_RESOURCES
from baobablane.jobs import TaskId
from baobablane.scheduling import StopOrder
from baobablane.scheduling._upstream import Run
from baobablane_platform import UpstreamResetError

from baobablane_daemon.decision_log import DecisionLog
from baobablane_daemon.owner._order_channels import OrderChannels
from baobablane_daemon.owner._order_sender import OrderSender
from baobablane_daemon.owner._upstream_poller import (
    MAX_STOPS_PER_POLL,
    UpstreamPoller,
)

from .lease_records import make_lease_record
from .test_stale_owner import TASK, make_scheduler

STOP = StopOrder(TASK, 1, "u")


class Client:
    """Reset stops, or leave them unanswered, and take those between renewals."""

    def __init__(self, is_reset):
        """Start without calls."""
        self.is_reset = is_reset
        self.between_renewals = []
        self.polls = 0

    async def stop(self, entry, order, token):
        """Reset the connection, or give no response."""
        if self.is_reset:
            raise UpstreamResetError("u: reset")
        return False

    async def stop_between_renewals(self, entry, order, token):
        """Confirm the stop."""
        self.between_renewals.append(order)
        return True

    async def close(self):
        """Close nothing."""


def make_sender(client, is_confirmed=True):
    """Return a sender, its poller, and the run that a stop is to settle."""
    scheduler = make_scheduler()
    run = Run(TASK, 1, NO_RESOURCES, "account", False, False, 0.0)
    scheduler.state.upstreams["u"].runs = {TASK: run}
    log = DecisionLog("entry-1")
    poller = UpstreamPoller(
        "u",
        1,
        scheduler,
        client,
        log,
        lambda: None,
        lambda seconds: is_confirmed,
        make_lease_record(scheduler),
    )
    sender = OrderSender(
        scheduler,
        {"u": poller},
        OrderChannels(lambda: client),
        "",
        log,
        1,
        lambda: None,
        lambda seconds: True,
        lambda zone: math.inf,
    )
    return sender, poller, run


async def run_poller(client, poller):
    """Let the poller begin a poll, and return."""

    async def poll():
        client.polls += 1
        await asyncio.sleep(60.0)

    poller._poll = poll
    task = asyncio.create_task(poller._poll_until_removed())
    while not client.polls:
        await asyncio.sleep(0)
    task.cancel()


class TestResets:
    """Test a stop whose connection is reset."""

    async def test_it_settles_the_start_before_the_next_renewal(self):
        """Guards against a task that waits for an outcome without end."""
        client = Client(is_reset=True)
        sender, poller, run = make_sender(client)
        await sender.send_stop(STOP)
        assert run.confirmed_at is None
        await run_poller(client, poller)
        assert client.between_renewals == [STOP]
        assert run.confirmed_at is not None
        await sender.close()

    async def test_silent_upstream_gets_none_between_renewals(self):
        """Guards against renewals that wait behind unanswered stops."""
        client = Client(is_reset=False)
        sender, poller, _ = make_sender(client)
        await sender.send_stop(STOP)
        await run_poller(client, poller)
        assert client.between_renewals == []
        await sender.close()

    async def test_ended_ownership_sends_none(self):
        """Guards against an order of an owner that another one has followed."""
        client = Client(is_reset=True)
        sender, poller, _ = make_sender(client, is_confirmed=False)
        await sender.send_stop(STOP)
        await run_poller(client, poller)
        assert client.between_renewals == []
        await sender.close()

    @pytest.mark.parametrize("count", [1, MAX_STOPS_PER_POLL, 50])
    async def test_renewal_waits_for_few_stops(self, count):
        """Guards against leases that expire behind a row of stops."""
        client = Client(is_reset=True)
        sender, poller, _ = make_sender(client)
        for position in range(count):
            task = TaskId("0" * 16, 0, 0, position)
            for _ in range(2):
                poller.add_stop(StopOrder(task, 1, "u"))
        await run_poller(client, poller)
        assert len(client.between_renewals) == min(count, MAX_STOPS_PER_POLL)
        await sender.close()
