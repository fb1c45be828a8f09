"""Test the order of jobs, the learned run times and the choice of slow upstreams."""

import pytest

from baobablane.jobs import TaskId
from baobablane.scheduling import _planning
from baobablane.scheduling._job_run import JobRun
from baobablane.scheduling._run_times import MAX_RATIO, RunTimes
from baobablane.scheduling._urgency import JobGroup, urgency_key

from .fleet_model import add, make_job, make_queue, make_step


def key_at(age_ms, job_run=None, pressure=False, standing=0.0, run_times=None):
    """Return the key of a job of half a second, whose objective is 1.4 s."""
    job_run = job_run or JobRun(make_job(), None, 0.0)
    run_times = run_times or RunTimes()
    return urgency_key(job_run, make_queue(), age_ms, standing, run_times, pressure)


def begun(*steps):
    """Return a job of which a task was started."""
    job_run = JobRun(make_job(*steps), None, 0.0)
    job_run.open_due_occurrences(0)
    job_run.steps[(0, 0)].task(0)
    return job_run


class TestUrgencyKey:
    """Test which of two jobs goes first."""

    def test_groups_follow_the_use_of_the_result(self):
        """Guard against a job that is a minute late before one that is of use."""
        groups = [key_at(age_ms)[0] for age_ms in (900, 901, 3700, 3701)]
        late, useless = JobGroup.LATE, JobGroup.USELESS
        assert groups == [JobGroup.IN_TIME, late, late, useless]

    def test_standing_goes_before_urgency(self):
        """Guard against a flood that delays accounts within their share."""
        assert key_at(100, standing=0.0) < key_at(800, standing=0.1)

    def test_begun_job_goes_first_under_pressure(self):
        """Guard against wasted work of jobs that began in time and end late."""
        large = begun(make_step(20))
        assert key_at(0, large, pressure=True) < key_at(0, pressure=True)

    def test_smaller_job_goes_first_only_under_pressure(self):
        """Guard against another order of ordinary loads."""
        older = JobRun(make_job(make_step(20)), None, 0.0)
        newer = JobRun(make_job(accepted_ms=10), None, 0.0)
        older.open_due_occurrences(10)
        newer.open_due_occurrences(10)
        assert key_at(0, older) < key_at(0, newer)
        assert key_at(0, newer, pressure=True) < key_at(0, older, pressure=True)

    def test_begun_job_is_not_overtaken_for_ever(self):
        """Guard against a begun job that never ends while new ones arrive."""
        assert key_at(20_000, begun())[0] == JobGroup.IN_TIME
        assert key_at(20_000)[0] == JobGroup.USELESS


class TestRunTimes:
    """Test what is learned from ends."""

    def test_one_end_moves_the_ratio_a_little(self):
        """Guard against one stalled run that makes a whole queue late."""
        run_times = RunTimes()
        run_times.observe("q", "", 100.0, 1.0)
        assert 1.0 < run_times.ratio("q", "") < 1.11

    def test_ratio_follows_the_ends_within_its_bounds(self):
        """Guard against objectives by declared times that are half the real ones."""
        run_times = RunTimes()
        for _ in range(60):
            run_times.observe("q", "", 2.0, 1.0)
            run_times.observe("q", "image", 100.0, 1.0)
        assert abs(run_times.ratio("q", "") - 2.0) < 0.1
        assert run_times.ratio("q", "image") <= MAX_RATIO
        assert key_at(901, run_times=run_times)[0] == JobGroup.IN_TIME


class TestPlacement:
    """Test which upstreams are filled last."""

    def test_slow_upstream_is_filled_last(self, fleet):
        """Guard against jobs that wait for one task on a slow server."""
        for _ in range(6):
            fleet.scheduler.state.speeds.observe("pool", "u0", 2.0, 1.0)
            fleet.scheduler.state.speeds.observe("pool", "u1", 1.0, 1.0)
        add(fleet, make_job(make_step(6)))
        placed = [order.upstream for order in fleet.place()]
        assert placed == ["u1"] * 4 + ["u0"] * 2

    def test_start_is_logged_with_group_and_one_prediction(self, fleet):
        """Guard against starts that cannot be explained afterwards."""
        fleet.now = 1.0
        add(fleet, make_job(make_step(2)))
        fleet.place()
        events = [e for e in fleet.scheduler.pop_events() if e.event == "task-placed"]
        assert [(e.account, e.queue, e.group, e.position) for e in events] == [
            ("a", "q", _planning.GROUP_NAMES[JobGroup.LATE], 0)
        ] * 2
        assert [e.predicted_ms for e in events] == [1500, 0]


class TestOutcomes:
    """Test how the end of a job is counted."""

    @pytest.mark.parametrize(
        ("age_ms", "outcome"), [(0, "in-time"), (2000, "late"), (9000, "useless")]
    )
    def test_completed_job_tells_its_outcome(self, fleet, age_ms, outcome):
        """Guard against late results that no counter shows."""
        job = make_job(accepted_ms=round(fleet.now * 1000) - age_ms)
        add(fleet, job)
        fleet.place()
        fleet.finish(TaskId(job.id, 0, 0, 0))
        fleet.renew_all()
        ends = [e for e in fleet.scheduler.pop_events() if e.event == "job-completed"]
        assert [(e.account, e.queue, e.outcome) for e in ends] == [("a", "q", outcome)]
