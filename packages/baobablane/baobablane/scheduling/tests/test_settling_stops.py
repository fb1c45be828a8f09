"""Test stops that settle a start of which the response is lost.

An upstream left orders unanswered and carried them out late: first the starts, and
then the stops that were to rule them out. They ended tasks at work while more others of
their step were away than may be.
"""

import pytest

from baobablane.jobs import TaskId
from baobablane.scheduling import StartResult

from .fleet_model import add, make_job, make_step

JOB = "0" * 16
TASKS = 4
# A lease deadline of a start lies at most this far ahead, by the model's leases.
MAX_DEADLINE_SECONDS = 4.6


def task(position):
    """Return a task of the step."""
    return TaskId(JOB, 0, 0, position)


class Play:
    """Start a step with an allowance, and lose the responses of some starts."""

    def __init__(self, fleet, lost, may_miss=1, is_lasting=True):
        """Submit the step, and send all starts but the `lost` ones."""
        self.fleet = fleet
        step = make_step(TASKS, is_lasting=is_lasting, may_miss=may_miss)
        add(fleet, make_job(step))
        self.late = []
        for order in fleet.plan_starts():
            if order.task.position >= lost:
                fleet.send(order)
                continue
            deadline = fleet.grant_start(order.upstream)
            fleet.scheduler.start_sent(order, round(deadline * 1000), fleet.now)
            fleet.scheduler.start_answered(order, StartResult.UNKNOWN, fleet.now)
            self.late.append((order, deadline))
        fleet.renew_all()

    def carry_out(self):
        """Carry out the late starts."""
        for order, deadline in self.late:
            model = self.fleet.upstreams[order.upstream]
            model.start(order, self.fleet.epoch, deadline, self.fleet.now)

    def run(self, seconds):
        """Run the owner for some time; return the stops with their times."""
        until = self.fleet.now + seconds
        stops = []
        while self.fleet.now < until:
            for model in self.fleet.upstreams.values():
                # Ready, so that none of them counts as stalled.
                model.percent.update(dict.fromkeys(model.running, 100))
            began_at = self.fleet.now
            stops += [(began_at, stop) for stop in self.fleet.send_stops()]
            self.fleet.renew_all()
            self.fleet.place()
            self.fleet.now += 0.1
        return stops

    def run_numbers(self):
        """Return the runs at work."""
        return {
            task.position: number
            for model in self.fleet.upstreams.values()
            for task, number in model.running.items()
        }


class TestLateStarts:
    """Test starts that are carried out after a report without them."""

    @pytest.mark.parametrize("lost", [2, 3, TASKS])
    def test_task_at_work_goes_on(self, fleet, lost):
        """Guards against a stop that ends work of a step which can't miss it."""
        play = Play(fleet, lost)
        assert play.run(0.5) == []
        play.carry_out()
        assert play.run(10.0) == []
        assert play.run_numbers() == dict.fromkeys(range(TASKS), 1)

    def test_deadline_says_nothing_before_the_next_report(self, fleet):
        """Guards against a stop on its way to a task that is about to be listed."""
        play = Play(fleet, 3)
        play.run(0.5)
        play.carry_out()
        fleet.now = max(deadline for _, deadline in play.late) + 0.3
        assert fleet.send_stops() == []
        assert play.run(5.0) == []
        assert play.run_numbers() == dict.fromkeys(range(TASKS), 1)

    @pytest.mark.parametrize("lost", [2, 3, TASKS])
    def test_task_that_never_begins_is_started_again(self, fleet, lost):
        """Guards against a task that waits for ever for a start that was lost."""
        play = Play(fleet, lost)
        latest = max(deadline for _, deadline in play.late)
        stops = play.run(MAX_DEADLINE_SECONDS + 1.0)
        assert {stop.task.position for _, stop in stops} == set(range(lost))
        assert min(at for at, _ in stops) >= latest - 0.1
        assert sorted(play.run_numbers()) == list(range(TASKS))


class TestOtherSteps:
    """Test stops that end no more than may be missing."""

    def test_one_task_may_be_away(self, fleet):
        """Guards against a task that waits although its step can miss it."""
        play = Play(fleet, 1)
        assert play.run(0.2)

    @pytest.mark.parametrize("lost", [1, 3])
    def test_step_without_an_allowance(self, fleet, lost):
        """Guards against tasks without an allowance that wait for a deadline."""
        play = Play(fleet, lost, may_miss=0)
        assert len(play.run(0.2)) == lost

    def test_unwanted_run_is_stopped_at_once(self, fleet):
        """Guards against a cancelled job whose late start goes on."""
        play = Play(fleet, 3)
        fleet.scheduler.cancel_job(JOB)
        stopped = {stop.task for _, stop in play.run(0.2)}
        assert stopped == {task(position) for position in range(TASKS)}
