"""Test an upstream whose entry is replaced by one that can't be read.

It stayed in use with the capacity that the last valid entry told.
"""

import asyncio
import json

import pytest
from baobablane.scheduling import Scheduler, SchedulingPolicy
from baobablane_platform import KeyedRecord

from baobablane_daemon.decision_log import DecisionLog
from baobablane_daemon.owner._owner import Owner

ENTRY = {
    "service": "pool",
    "address": "10.0.0.1:80",
    "zone": "zone",
    "state": "ready",
    "capacity": {"cpu": 4000, "memMb": 4000, "gpu": 0},
    "labels": [],
    "born": 7,
}


@pytest.fixture
def owner():
    """Return an owner that has not taken over."""
    owner = Owner.__new__(Owner)
    owner._scheduler = Scheduler(SchedulingPolicy())
    owner._log = DecisionLog("entry-1")
    owner._wake = asyncio.Event()
    return owner


class TestInvalidEntry:
    """Test which entries let an upstream take tasks."""

    def read(self, owner, **changes):
        """Let the owner read an entry; return whether the upstream takes tasks."""
        record = KeyedRecord("u", json.dumps(ENTRY | changes).encode())
        owner._on_upstream(record)
        return owner._scheduler.state.upstreams["u"].is_listed

    @pytest.mark.parametrize(
        "changes",
        [
            {"capacity": None},
            {"capacity": {"cpu": 10**15}},
            {"state": "resting"},
            {"born": 2**63},
            {"address": "10.0.0.1:99999"},
        ],
    )
    async def test_upstream_takes_no_task_until_its_next_valid_entry(
        self, owner, changes
    ):
        assert self.read(owner)
        assert not self.read(owner, **changes)
        assert self.read(owner)

    @pytest.mark.parametrize("depth", [30_000, 60_000])
    async def test_deeply_nested_entry_is_no_valid_one(self, owner, depth):
        assert self.read(owner)
        nested = b'{"a":' * depth + b"1" + b"}" * depth
        owner._on_upstream(KeyedRecord("u", nested))
        assert not owner._scheduler.state.upstreams["u"].is_listed
        assert self.read(owner)
