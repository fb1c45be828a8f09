"""Test starts for an upstream whose capacity shrank while they were recorded.

Such a start would bring an upstream that does not check its capacity over it.
"""

import math

import pytest
from baobablane.scheduling import StartOrder, StartResult

from baobablane_daemon.decision_log import DecisionLog
from baobablane_daemon.owner._order_channels import OrderChannels
from baobablane_daemon.owner._order_sender import OrderSender
from baobablane_daemon.owner._upstream_poller import UpstreamPoller

from .lease_records import make_lease_record
from .test_stale_owner import TASK, RecordingClient, make_scheduler


class TestStarts:
    """Test that the capacity is checked in the step that sends a start."""

    @pytest.mark.parametrize(
        ("is_over", "expected"),
        [(True, StartResult.NO_ROOM), (False, StartResult.STARTED)],
    )
    async def test_start_is_sent_only_within_the_capacity(self, is_over, expected):
        client, scheduler = RecordingClient(), make_scheduler()
        scheduler.state.upstreams["u"].is_over_capacity = lambda: is_over
        rest = (client, DecisionLog("entry-1"), lambda: None, lambda seconds: True)
        poller = UpstreamPoller("u", 1, scheduler, *rest, make_lease_record(scheduler))
        sender = OrderSender(
            scheduler,
            {"u": poller},
            OrderChannels(lambda: client),
            "",
            rest[1],
            1,
            rest[2],
            rest[3],
            lambda zone: math.inf,
        )
        order = StartOrder(TASK, 1, "", "", "u", 1)
        assert await sender._try_start(order, client) is expected
        assert client.calls == ([] if is_over else ["start"])
        await sender.close()
