"""Test that all members of a gang resume from the same checkpoint.

One upstream crashed, and the other ended its members with a newer checkpoint than the
crashed one had reported. The members resumed from both, waited for each other, ended
alone and were started again in the same way, without end.
"""

from dataclasses import replace

import pytest

from baobablane.jobs import TaskId
from baobablane.scheduling import EndReason

from .fleet_model import CORE, ModelFleet, add, make_job, make_step

JOB = "0" * 16
COUNT = 4


def make_gang():
    """Return a job of a gang that saves checkpoints."""
    return make_job(make_step(COUNT, is_gang=True))


@pytest.fixture
def fleet():
    """Return two upstreams that run two members of a gang each, and a spare one."""
    fleet = ModelFleet(count=3, cpu=2 * CORE)
    fleet.renew_all()
    add(fleet, make_gang())
    assert len(fleet.place()) == COUNT
    return fleet


def report(fleet, name, checkpoint):
    """Apply a report in which all runs of an upstream have a checkpoint."""
    fleet.now += 0.1
    listed = fleet.upstreams[name].report(0)
    rows = tuple(replace(row, checkpoint=checkpoint) for row in listed.running)
    listed = replace(listed, running=rows)
    fleet.scheduler.report_received(name, listed, fleet.now - 0.01, fleet.now)


def break_gang(fleet, crashed, other, checkpoint):
    """Crash one upstream; the other ends its members with a checkpoint."""
    model = fleet.upstreams[other]
    for task in list(model.running):
        model.end(task, EndReason.BROKEN)
    model.ended = [replace(end, checkpoint=checkpoint) for end in model.ended]
    fleet.upstreams[crashed].restart()
    fleet.renew_all()


def hosts(fleet):
    """Return the names of the two upstreams that run members."""
    return [name for name, model in fleet.upstreams.items() if model.running]


class TestGangCheckpoints:
    """Test the checkpoints in the orders that start a gang again."""

    @pytest.mark.parametrize("order", [(0, 1), (1, 0)])
    def test_members_resume_from_the_newest_checkpoint(self, fleet, order):
        crashed, other = (hosts(fleet)[n] for n in order)
        report(fleet, crashed, "05")
        report(fleet, other, "05")
        break_gang(fleet, crashed, other, "06")
        orders = fleet.plan_starts()
        assert [order.checkpoint for order in orders] == ["06"] * COUNT
        assert len({order.run for order in orders}) == 1

    def test_member_that_reported_none_resumes_with_the_others(self, fleet):
        crashed, other = hosts(fleet)
        break_gang(fleet, crashed, other, "01")
        orders = fleet.plan_starts()
        assert [order.checkpoint for order in orders] == ["01"] * COUNT

    def test_gang_without_a_checkpoint_begins_anew(self, fleet):
        crashed, other = hosts(fleet)
        break_gang(fleet, crashed, other, "")
        assert [order.checkpoint for order in fleet.plan_starts()] == [""] * COUNT

    def test_next_owner_resumes_all_from_one_point(self, fleet):
        crashed, other = hosts(fleet)
        report(fleet, crashed, "05")
        break_gang(fleet, crashed, other, "06")
        recorded = fleet.scheduler.state.jobs[JOB].progress()
        fleet.epoch += 1
        fleet.scheduler = fleet.make_scheduler()
        fleet.scheduler.add_job(make_gang(), recorded, fleet.now)
        fleet.renew_all()
        orders = fleet.place()
        assert len(orders) == COUNT
        assert len({order.checkpoint for order in orders}) == 1

    def test_checkpoint_stays_with_its_task_outside_of_gangs(self):
        fleet = ModelFleet(cpu=2 * CORE)
        fleet.renew_all()
        add(fleet, make_job(make_step(2), name=JOB))
        for order in fleet.place():
            model = fleet.upstreams[order.upstream]
            model.end(order.task, EndReason.STOPPED)
            model.ended[-1] = replace(
                model.ended[-1], checkpoint=f"{order.task.position}"
            )
        fleet.renew_all()
        again = {order.task: order.checkpoint for order in fleet.plan_starts()}
        assert again == {TaskId(JOB, 0, 0, n): f"{n}" for n in range(2)}
