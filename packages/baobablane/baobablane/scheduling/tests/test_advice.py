"""Test placement for queues that have a placement advisor."""

from dataclasses import replace

import pytest

from .fleet_model import ModelFleet, make_configuration, make_job, make_queue


@pytest.fixture
def fleet():
    """Return a fleet with a job whose queue has a placement advisor."""
    queue = replace(make_queue(), needs_advice=True)
    fleet = ModelFleet(configuration=make_configuration(queues=[queue]))
    fleet.renew_all()
    fleet.scheduler.add_job(make_job(), None, fleet.now)
    return fleet


class TestAdvice:
    """Test the requests to the advisor and the use of its tickets."""

    def test_task_starts_with_the_ticket_of_an_allowed_upstream(self, fleet):
        assert fleet.plan_starts() == []
        (request,) = fleet.scheduler.pop_advice_requests()
        assert set(request.upstreams) == {"u0", "u1"}
        fleet.scheduler.advice_received(request, {"u1": "ticket"}, fleet.now + 3.0)
        (order,) = fleet.plan_starts()
        assert (order.upstream, order.ticket) == ("u1", "ticket")

    def test_only_one_request_per_step_is_in_flight(self, fleet):
        fleet.plan_starts()
        assert len(fleet.scheduler.pop_advice_requests()) == 1
        fleet.plan_starts()
        assert fleet.scheduler.pop_advice_requests() == []

    def test_no_advice_is_requested_again_for_rejected_upstreams(self, fleet):
        fleet.plan_starts()
        (request,) = fleet.scheduler.pop_advice_requests()
        fleet.scheduler.advice_received(request, {}, fleet.now + 3.0)
        fleet.plan_starts()
        assert fleet.scheduler.pop_advice_requests() == []

    def test_ticket_close_to_expiry_is_requested_again(self, fleet):
        fleet.plan_starts()
        (request,) = fleet.scheduler.pop_advice_requests()
        fleet.scheduler.advice_received(request, {"u1": "ticket"}, fleet.now + 0.1)
        assert fleet.plan_starts() == []
        (again,) = fleet.scheduler.pop_advice_requests()
        assert again.upstreams == ("u1",)

    def test_request_without_a_response_is_repeated(self, fleet):
        fleet.plan_starts()
        (request,) = fleet.scheduler.pop_advice_requests()
        fleet.scheduler.advice_received(request, None, 0.0)
        fleet.plan_starts()
        assert len(fleet.scheduler.pop_advice_requests()) == 1
