"""Test that a round does not look at what has not changed.

With thousands of runs, the check of each of them for a stop, and the search for jobs
without runs, took more than half of the time of a round.
"""

from baobablane.jobs import TaskId
from baobablane.scheduling import EndReason, _pressure, _stop_planning
from baobablane.scheduling._job_run import JobRun

from .fleet_model import ModelFleet, add, make_job, make_step

JOB = "0" * 16
OTHER = "1" * 16


def count_checks(monkeypatch):
    """Return a list that gets the run of each check for a stop."""
    checked = []
    original = _stop_planning.should_stop

    def check(state, run):
        checked.append(run)
        return original(state, run)

    monkeypatch.setattr(_stop_planning, "should_stop", check)
    return checked


class TestStops:
    """Test which runs are checked for a stop."""

    def test_idle_round_checks_no_run(self, fleet, monkeypatch):
        add(fleet, make_job(make_step(8)))
        fleet.place()
        fleet.send_stops()
        checked = count_checks(monkeypatch)
        for _ in range(10):
            fleet.send_stops()
        assert checked == []

    def test_end_of_one_job_checks_only_upstreams_that_run_it(self, monkeypatch):
        fleet = ModelFleet(count=3, cpu=1000)
        fleet.renew_all()
        for name in (JOB, OTHER, "2" * 16):
            add(fleet, make_job(name=name))
        fleet.place()
        fleet.send_stops()
        checked = count_checks(monkeypatch)
        fleet.scheduler.cancel_job(JOB)
        assert [stop.task.job for stop in fleet.send_stops()] == [JOB]
        assert [run.task.job for run in checked] == [JOB]

    def test_stop_is_repeated_until_the_run_has_ended(self, fleet):
        add(fleet, make_job())
        fleet.place()
        fleet.scheduler.cancel_job(JOB)
        assert len(fleet.scheduler.plan_stops(fleet.now)) == 1
        assert fleet.scheduler.plan_stops(fleet.now) == []
        fleet.now += 1.0
        assert len(fleet.scheduler.plan_stops(fleet.now)) == 1

    def test_superseded_copy_is_stopped_when_the_other_run_has_finished(self):
        fleet = ModelFleet()
        fleet.renew_all()
        add(fleet, make_job(make_step(may_run_twice=True)))
        (order,) = fleet.place()
        first, second = order.upstream, "u1" if order.upstream == "u0" else "u0"
        fleet.scheduler.renewal_failed(first, fleet.now)
        fleet.scheduler.expire_unreachable(fleet.now)
        fleet.now += 0.5
        fleet.renew(second)
        fleet.scheduler.expire_unreachable(fleet.now)
        (copy,) = fleet.place()
        assert copy.upstream == second
        fleet.upstreams[second].end(TaskId(JOB, 0, 0, 0), EndReason.DONE)
        fleet.renew(second)
        fleet.record()
        assert [stop.upstream for stop in fleet.send_stops()] == [first]


class TestRunCounts:
    """Test the counts that tell which ended jobs have no runs left."""

    def test_runs_are_counted_by_job(self, fleet):
        add(fleet, make_job(make_step(3)))
        fleet.place()
        assert fleet.scheduler.state.run_count_by_job == {JOB: 3}
        for position in range(3):
            fleet.finish(TaskId(JOB, 0, 0, position))
        fleet.renew_all()
        assert fleet.scheduler.state.run_count_by_job == {}


class TestOrder:
    """Test what is measured to order the waiting jobs."""

    def test_unchanged_job_is_not_measured_again(self, fleet, monkeypatch):
        """Guard against rounds that walk through all steps of 500 waiting jobs."""
        measured = []
        original = JobRun._measure_work

        def measure(job_run, run_times):
            measured.append(job_run.job.id)
            return original(job_run, run_times)

        monkeypatch.setattr(JobRun, "_measure_work", measure)
        add(fleet, make_job(make_step(20)))
        fleet.place()
        before = len(measured)
        for _ in range(10):
            fleet.now += _pressure.MEASURING_INTERVAL_SECONDS
            fleet.place()
        assert len(measured) == before

    def test_pressure_is_not_measured_in_each_round(self, fleet, monkeypatch):
        """Guard against a sum over all jobs in each of 50 rounds a second."""
        calls = []
        monkeypatch.setattr(
            _pressure, "_pressed_pools", lambda *_: calls.append(1) or []
        )
        for _ in range(10):
            fleet.now += _pressure.MEASURING_INTERVAL_SECONDS / 20
            fleet.place()
        assert len(calls) == 1
