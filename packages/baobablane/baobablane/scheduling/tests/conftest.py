"""Share the fleet that most tests of the scheduler begin with."""

import pytest

from .fleet_model import ModelFleet


@pytest.fixture
def fleet():
    """Return two upstreams of four cores that have been heard."""
    fleet = ModelFleet()
    fleet.renew_all()
    return fleet
