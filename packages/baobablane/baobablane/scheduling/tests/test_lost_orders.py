"""Test crashes of upstreams to which a task's order was sent, or only recorded.

An order that was lost on its way crashes nothing. One whose response is lost may have:
a task that crashes its upstream at its start takes the response with it.
"""

from dataclasses import replace

import pytest

from baobablane.jobs import JobState, TaskId
from baobablane.scheduling import StartResult

from .crash_model import DOWN_SECONDS, CrashFleet
from .fleet_model import add, make_job, make_step

JOB = "a" * 16
TASK = TaskId(JOB, 0, 0, 0)
VERDICT_SECONDS = 20.0
# After three crashes, a task may be started twice more.
MAX_STARTS = 5


class LossyFleet(CrashFleet):
    """Simulate a fleet in which connections are reset while starts are under way."""

    def __init__(self, *arguments, **options):
        """Create the fleet; `lose` tells whether an order is lost on its way."""
        self.lose = lambda order: False
        self.lose_response = lambda order: False
        super().__init__(*arguments, **options)

    def send(self, order):
        """Send a start over a connection that may be reset."""
        model = self.upstreams.get(order.upstream)
        if model is None:
            return super().send(order)
        if self.lose(order):
            self.scheduler.start_answered(order, StartResult.UNKNOWN, self.now)
            return StartResult.UNKNOWN
        if self.lose_response(order):
            model.start(order, self.epoch, self.now + 1.0, self.now)
            self.scheduler.start_answered(order, StartResult.UNKNOWN, self.now)
            return StartResult.UNKNOWN
        return super().send(order)

    def losses(self):
        """Return the recorded losses of the task."""
        return self.scheduler.state.jobs[JOB].find_task(TASK)[1].losses

    def plan_trial(self):
        """Run the owner until a start is planned and recorded, and return its order.

        None if the job has ended before that.
        """
        for _ in range(1600):
            if self.state_of(JOB).is_final():
                return None
            orders = self.plan_starts()
            if orders:
                (order,) = orders
                return order
            self.now += 0.05
            self._return_crashed()
            self.list_instances()
            self.scheduler.expire_unreachable(self.now)
            for name in list(self.upstreams):
                self.renew(name)
        raise AssertionError("no trial")


def lose_first_run(**step):
    """Return a fleet with one task, whose upstream crashes by itself at its start."""
    fleet = LossyFleet()
    add(fleet, make_job(make_step(**step), name=JOB))
    (order,) = fleet.place()
    fleet.crash(order.upstream)
    return fleet


def advance_until_verdict(fleet):
    """Run the owner until the upstreams are back and their crashes are confirmed."""
    fleet.advance(DOWN_SECONDS + VERDICT_SECONDS)


@pytest.mark.parametrize("is_lasting", [False, True])
class TestOrderThatWasLost:
    """Test an innocent task whose trial never began, on an upstream that crashes."""

    def test_upstream_has_reported_since_that_it_does_not_run(self, is_lasting):
        fleet = lose_first_run(is_lasting=is_lasting)
        trial = fleet.plan_trial()
        fleet.lose = lambda order: order == trial
        fleet.send(trial)
        fleet.now += 0.1
        fleet.renew(trial.upstream)
        fleet.crash(trial.upstream)
        advance_until_verdict(fleet)
        assert not fleet.state_of(JOB).is_final()

    def test_owner_is_lost_before_it_sends_the_order(self, is_lasting):
        fleet = lose_first_run(is_lasting=is_lasting)
        trial = fleet.plan_trial()
        fleet.replace_owner()
        fleet.list_instances()
        fleet.crash(trial.upstream)
        advance_until_verdict(fleet)
        assert not fleet.state_of(JOB).is_final()

    def test_upstream_has_crashed_when_the_next_owner_begins(self, is_lasting):
        fleet = lose_first_run(is_lasting=is_lasting)
        trial = fleet.plan_trial()
        fleet.crash(trial.upstream)
        fleet.now += 0.5
        fleet.replace_owner()
        fleet.replace_owner()
        advance_until_verdict(fleet)
        assert not fleet.state_of(JOB).is_final()

    def test_upstream_has_restarted_when_the_next_owner_begins(self, is_lasting):
        fleet = lose_first_run(is_lasting=is_lasting)
        trial = fleet.plan_trial()
        fleet.now += 0.3
        model = fleet.upstreams[trial.upstream]
        model.restart()
        model.entry = replace(model.entry, incarnation=round(fleet.now * 1000))
        fleet.replace_owner()
        advance_until_verdict(fleet)
        assert not fleet.state_of(JOB).is_final()


class TestLostResponse:
    """Test a task that crashes its upstreams before they respond to its start."""

    @pytest.mark.parametrize("is_lasting", [False, True])
    @pytest.mark.parametrize("count", [1, 4])
    def test_it_is_given_up(self, count, is_lasting):
        fleet = LossyFleet(count, [TASK])
        fleet.lose_response = lambda order: True
        add(fleet, make_job(make_step(is_lasting=is_lasting), name=JOB))
        fleet.advance(60.0)
        assert fleet.state_of(JOB) is JobState.FAILED
        assert len(fleet.crashed_starts) <= (2 if count > 1 else MAX_STARTS)

    @pytest.mark.parametrize("is_lasting", [False, True])
    @pytest.mark.parametrize("after_seconds", [0.0, 0.5, 2.0, DOWN_SECONDS + 0.5])
    def test_owner_is_replaced_after_each_crash(self, after_seconds, is_lasting):
        fleet = LossyFleet(4, [TASK])
        fleet.lose_response = lambda order: True
        add(fleet, make_job(make_step(is_lasting=is_lasting), name=JOB))
        for _ in range(8):
            crashes = len(fleet.crashed_starts)
            for _ in range(80):
                if len(fleet.crashed_starts) > crashes:
                    break
                fleet.advance(0.25)
            fleet.advance(after_seconds)
            fleet.replace_owner()
        fleet.advance(VERDICT_SECONDS)
        assert fleet.state_of(JOB) is JobState.FAILED
        assert len(fleet.crashed_starts) <= MAX_STARTS

    @pytest.mark.parametrize("after_seconds", [0.1, 2.0])
    def test_order_is_carried_out_late(self, after_seconds):
        """Guards against starts without end: its report came before the start."""
        fleet = LossyFleet(4, [TASK])
        fleet.lose = lambda order: True
        add(fleet, make_job(name=JOB))
        while (order := fleet.plan_trial()) is not None:
            fleet.send(order)
            fleet.now += after_seconds
            fleet.renew(order.upstream)
            fleet.crashed_starts.append(order)
            fleet.crash(order.upstream)
        assert fleet.state_of(JOB) is JobState.FAILED
        assert len(fleet.crashed_starts) <= MAX_STARTS
