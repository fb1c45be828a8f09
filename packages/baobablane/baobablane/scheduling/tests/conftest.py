"""Provide the fleet that most tests of the scheduler use, and check all counts."""

import pytest

from .._count_audit import find_miscounts
from .._scheduler import Scheduler
from .fleet_model import ModelFleet

# A check walks over all runs, which large models would repeat thousands of times.
ROUNDS_PER_CHECK = 20


@pytest.fixture(autouse=True)
def _check_counts(monkeypatch):
    """Check that every scheduler of a test counts just the runs that it knows."""
    schedulers = []
    begin, plan = Scheduler.__init__, Scheduler.plan_starts

    def begin_checked(self, *args, **kwargs):
        begin(self, *args, **kwargs)
        self.round_count = 0
        schedulers.append(self)

    def plan_checked(self, now, unix_ms):
        orders = plan(self, now, unix_ms)
        if self.round_count % ROUNDS_PER_CHECK == 0:
            assert find_miscounts(self.state) == []
        self.round_count += 1
        return orders

    monkeypatch.setattr(Scheduler, "__init__", begin_checked)
    monkeypatch.setattr(Scheduler, "plan_starts", plan_checked)
    yield
    for scheduler in schedulers:
        assert find_miscounts(scheduler.state) == []


@pytest.fixture
def fleet():
    """Return two upstreams of four cores whose first reports were applied."""
    fleet = ModelFleet()
    fleet.renew_all()
    return fleet
