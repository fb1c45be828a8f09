"""Provide the fleet that most tests of the scheduler use."""

import pytest

from .fleet_model import ModelFleet


@pytest.fixture
def fleet():
    """Return two upstreams of four cores whose first reports were applied."""
    fleet = ModelFleet()
    fleet.renew_all()
    return fleet
