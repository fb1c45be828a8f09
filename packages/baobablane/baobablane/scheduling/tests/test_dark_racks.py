"""Test upstreams that lose power together and are found to be gone one by one.

A suspect was tried on an upstream of the same rack that was silent but not yet found
out. The two losses passed for two crashes under the task, and its job was failed.
Other tasks were started on such upstreams for up to 2.5 s.
"""

import pytest

from baobablane.jobs import TaskId

from .crash_model import DOWN_SECONDS, CrashFleet
from .fleet_model import add, make_job, make_step

JOB = "a" * 16
OTHER_JOB = "b" * 16
VERDICT_SECONDS = 20.0


class TestTrialBesideADarkRack:
    """Test suspects of a rack's power loss whose trial may hit the same rack."""

    @pytest.mark.parametrize("may_run_twice", [False, True])
    @pytest.mark.parametrize("is_lasting", [False, True])
    def test_job_is_not_given_up(self, is_lasting, may_run_twice):
        fleet = CrashFleet(3)
        # The only upstream with power is the fuller one, so a trial prefers the other.
        add(fleet, make_job(make_step(is_lasting=True), name=OTHER_JOB))
        (other,) = fleet.place()
        fleet.advance(1.0)
        fleet.scheduler.fleet.cordon({other.upstream})
        step = make_step(is_lasting=is_lasting, may_run_twice=may_run_twice)
        add(fleet, make_job(step, name=JOB))
        fleet.place()
        fleet.scheduler.fleet.cordon(set())
        for name in list(fleet.upstreams):
            if name != other.upstream:
                fleet.cut_power(name)
        fleet.advance(DOWN_SECONDS + VERDICT_SECONDS)
        assert not fleet.state_of(JOB).is_final()
        assert fleet.runs_of(TaskId(JOB, 0, 0, 0)) == 1

    def test_upstream_is_asked_before_a_trial_and_gets_it_however_late(self):
        fleet = CrashFleet(2)
        add(fleet, make_job(name=JOB))
        (order,) = fleet.place()
        fleet.crash(order.upstream)
        (left,) = fleet.upstreams
        fleet.now += 0.5
        fleet.list_instances()
        for _ in range(3):
            assert fleet.plan_starts() == []
            assert fleet.scheduler.upstreams_to_check(fleet.now) == [left]
            fleet.now += 1.0
        fleet.renew(left)
        fleet.now += 0.4
        assert [trial.upstream for trial in fleet.plan_starts()] == [left]


class TestListedDown:
    """Test an upstream that is silent while its instance is listed as down."""

    @pytest.fixture
    def fleet(self):
        """Return an upstream that has lost power, and another one."""
        fleet = CrashFleet(2)
        fleet.cut_power("u0")
        fleet.now += 0.2
        fleet.list_instances()
        return fleet

    def test_nothing_starts_there(self, fleet):
        add(fleet, make_job(make_step(8), name=JOB))
        assert {order.upstream for order in fleet.plan_starts()} == {"u1"}

    def test_it_is_asked_at_once(self, fleet):
        assert fleet.scheduler.upstreams_to_check(fleet.now) == ["u0"]

    def test_it_takes_starts_again_once_it_responds(self, fleet):
        upstream = fleet.scheduler.state.upstreams["u0"]
        assert not upstream.is_usable()
        upstream.last_seen_at = fleet.now + 0.01
        assert upstream.is_usable()
