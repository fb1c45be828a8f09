"""Test that an owner has few connections to an upstream, and leaves none idle.

It opened one for each order under way and kept all of them. Machines that lost power
closed none, until upstreams took no more and reset those of the next owner.
"""

import asyncio
import json

import pytest
from baobablane.jobs import encode_job
from baobablane.scheduling import StartResult
from baobablane.scheduling.tests.fleet_model import make_job, make_step
from baobablane_platform import UPSTREAM_TOPIC

from baobablane_daemon.jobs import JOBS_TOPIC, boot_seconds
from baobablane_daemon.owner._order_channels import (
    MAX_CHANNELS,
    MAX_START_CHANNELS,
    MAX_WAIT_SECONDS,
    OrderChannels,
    OrderKind,
)

from ...jobs.tests.virtual_time import run_in_virtual_time
from .owner_model import UPSTREAM, UpstreamModel, run_owner

# SYSTEM.md: connections that an upstream takes from all callers together.
UPSTREAM_CONNECTIONS = 64
TASKS = 100


class BusyUpstream(UpstreamModel):
    """Count the orders that are under way at the same time."""

    def __init__(self):
        """Start without orders."""
        super().__init__()
        self.under_way = self.most = 0
        self.started_tasks = set()

    async def start(self, entry, order, token, deadline_ms):
        """Take some time to start a run."""
        self.under_way += 1
        self.most = max(self.most, self.under_way)
        await asyncio.sleep(0.02)
        self.under_way -= 1
        self.started_tasks.add(order.task)
        return StartResult.STARTED


class Connection:
    """Tell whether it was closed."""

    is_closed = False

    async def close(self):
        """Close it."""
        self.is_closed = True


class Orders:
    """Send orders that take 0.1 s, and note which were sent."""

    def __init__(self):
        """Start without connections."""
        self.connections = []
        self.sent = []
        self.unsent = []
        self.most_by_kind = dict.fromkeys(OrderKind, 0)
        self._under_way_by_kind = dict.fromkeys(OrderKind, 0)
        self.most = 0
        self.channels = OrderChannels(self._open)

    def _open(self):
        self.connections.append(Connection())
        return self.connections[-1]

    def open_count(self):
        """Return the number of connections that are open."""
        return sum(not connection.is_closed for connection in self.connections)

    async def send(self, name, kind, seconds=0.1):
        """Send an order."""
        async with self.channels.take("u", kind) as connection:
            if connection is None:
                self.unsent.append(name)
                return
            assert not connection.is_closed
            self._under_way_by_kind[kind] += 1
            under_way = self._under_way_by_kind
            self.most_by_kind[kind] = max(self.most_by_kind[kind], under_way[kind])
            self.most = max(self.most, self.open_count())
            await asyncio.sleep(seconds)
            under_way[kind] -= 1
            self.sent.append(name)


class TestBursts:
    """Test many orders at once."""

    def test_owner_starts_a_burst_over_few_connections(self):
        """Guards against an owner whose own orders are reset at the upstream's cap."""

        async def scenario():
            def prepare(model):
                capacity = {"cpu": 200_000, "memMb": 200_000, "gpu": 0}
                value = json.dumps({**UPSTREAM, "capacity": capacity}).encode()
                model.store.put(UPSTREAM_TOPIC, "u", value)

            async with run_owner(prepare) as model:
                upstream = BusyUpstream()
                model.upstream.start = upstream.start
                job = make_job(make_step(TASKS), name="f" * 16)
                model.store.put(JOBS_TOPIC, "f" * 16, encode_job(job))
                await asyncio.sleep(3.0)
            return upstream

        upstream = run_in_virtual_time(scenario())
        assert len(upstream.started_tasks) == TASKS
        assert upstream.most <= MAX_START_CHANNELS

    def test_stop_does_not_wait_behind_starts(self):
        """Guards against a stop that settles a start and comes after all others."""

        async def scenario():
            orders = Orders()
            starts = [orders.send(f"start {n}", OrderKind.START) for n in range(20)]
            tasks = [asyncio.ensure_future(start) for start in starts]
            await asyncio.sleep(0.01)
            await orders.send("stop", OrderKind.STOP)
            sent = list(orders.sent)
            await asyncio.gather(*tasks)
            return orders, sent

        orders, sent = run_in_virtual_time(scenario())
        assert sent[-1] == "stop"
        assert len(sent) == MAX_START_CHANNELS + 1
        assert orders.most == MAX_CHANNELS
        assert orders.most_by_kind[OrderKind.START] == MAX_START_CHANNELS
        assert len(orders.sent) == 21

    def test_connections_are_used_again_within_a_burst(self):
        """Guards against a new connection for each order, which costs a round trip."""

        async def scenario():
            orders = Orders()
            sends = [orders.send(n, OrderKind.START) for n in range(20)]
            await asyncio.gather(*sends)
            return orders

        orders = run_in_virtual_time(scenario())
        assert sorted(orders.sent) == list(range(20))
        assert len(orders.connections) == MAX_START_CHANNELS

    def test_few_orders_share_a_connection(self):
        """Guards against bursts of a few orders that open as many connections."""

        async def scenario():
            orders = Orders()
            sends = [orders.send(n, OrderKind.START, 0.004) for n in range(4)]
            await asyncio.gather(*sends)
            return orders

        assert len(run_in_virtual_time(scenario()).connections) == 1

    def test_slow_response_holds_up_no_other_order(self):
        """Guards against starts that wait for one that is carried out late."""

        async def scenario():
            orders = Orders()
            slow = asyncio.ensure_future(orders.send("slow", OrderKind.START, 1.0))
            await asyncio.sleep(0.01)
            began_at = boot_seconds()
            await orders.send("next", OrderKind.START, 0.005)
            seconds = boot_seconds() - began_at
            await slow
            return seconds

        assert run_in_virtual_time(scenario()) == pytest.approx(0.025, abs=0.002)

    def test_order_that_waits_for_too_long_is_not_sent(self):
        """Guards against starts that are sent long after they were planned."""

        async def scenario():
            orders = Orders()
            began_at = boot_seconds()
            sends = [orders.send(n, OrderKind.START, 5.0) for n in range(20)]
            tasks = [asyncio.ensure_future(send) for send in sends]
            await asyncio.sleep(MAX_WAIT_SECONDS + 0.1)
            unsent = list(orders.unsent)
            await asyncio.gather(*tasks)
            return orders, unsent, boot_seconds() - began_at

        orders, unsent, seconds = run_in_virtual_time(scenario())
        assert len(unsent) == 20 - MAX_START_CHANNELS
        assert seconds == pytest.approx(5.0)
        assert orders.open_count() == 0


class TestIdleConnections:
    """Test connections that no order uses."""

    @pytest.mark.parametrize("kind", OrderKind)
    def test_connection_is_closed_after_the_last_order(self, kind):
        """Guards against connections that outlive their machine at the upstream.

        It has no response to send on them, so it never notices.
        """

        async def scenario():
            orders = Orders()
            sends = [orders.send(n, kind) for n in range(9)]
            await asyncio.gather(*sends)
            return orders

        orders = run_in_virtual_time(scenario())
        assert len(orders.sent) == 9
        assert orders.open_count() == 0

    @pytest.mark.parametrize("delay", [0.0, 0.05, 0.1, 0.15])
    def test_connection_of_a_cancelled_order_is_closed(self, delay):
        """Guards against a connection that an ended order keeps or withholds."""

        async def scenario():
            orders = Orders()
            sends = [orders.send(n, OrderKind.START) for n in range(9)]
            tasks = [asyncio.ensure_future(send) for send in sends]
            await asyncio.sleep(delay)
            for task in tasks[::2]:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            await orders.send("last", OrderKind.STOP)
            return orders

        orders = run_in_virtual_time(scenario())
        assert orders.sent[-1] == "last"
        assert {1, 3, 5, 7} <= set(orders.sent)
        assert orders.open_count() == 0

    def test_series_of_owners_leaves_room_for_the_next(self):
        """Guards against upstreams that take no more after some losses of power."""
        # One more each for renewals.
        assert 10 * (MAX_CHANNELS + 1) <= UPSTREAM_CONNECTIONS
