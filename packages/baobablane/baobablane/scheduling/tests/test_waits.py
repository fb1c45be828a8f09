"""Test that the log tells why a long-running task waits.

Such a task was seen to wait beside free room, and no line told for which reason.
"""

import pytest

from baobablane.deployment import Resources
from baobablane.jobs import JobState, TaskId

from .fleet_model import CORE, ModelFleet, add, make_configuration, make_job, make_step
from .waiting_model import WaitingFleet

JOB = "1" * 16
TASK = TaskId(JOB, 0, 0, 0)


def pop_waits(fleet):
    """Return the reasons and ages of the lines on waiting tasks."""
    return [
        (event.reason, event.age_seconds)
        for event in fleet.scheduler.pop_events()
        if event.event == "task-waits"
    ]


def run_rounds(fleet, seconds):
    """Plan each half second for some time; return the lines on waiting tasks."""
    for _ in range(round(2 * seconds)):
        fleet.now += 0.5
        fleet.renew_all()
        fleet.place()
    return pop_waits(fleet)


def fill(fleet):
    """Let other tasks use all cores."""
    add(fleet, make_job(make_step(8), name="f" * 16))
    fleet.place()


class TestReasons:
    """Test the reason for a wait."""

    def test_task_without_room(self, fleet):
        fill(fleet)
        add(fleet, make_job(make_step(is_lasting=True), name=JOB))
        assert [reason for reason, _ in run_rounds(fleet, 3.0)] == ["no room"]

    def test_account_at_its_cap(self):
        configuration = make_configuration(cap=Resources(CORE, 0, 0))
        fleet = ModelFleet(configuration=configuration)
        fleet.renew_all()
        add(fleet, make_job(make_step(2, is_lasting=True), name=JOB))
        (line,) = run_rounds(fleet, 3.0)
        assert line[0] == "its account is at its cap"

    def test_label_that_no_upstream_has(self, fleet):
        step = make_step(is_lasting=True, required_label="accelerator")
        add(fleet, make_job(step, name=JOB))
        (line,) = run_rounds(fleet, 3.0)
        assert line[0] == "no upstream of its pool can run it"

    def test_cordoned_upstreams(self, fleet):
        fleet.scheduler.fleet.cordon(set(fleet.upstreams))
        add(fleet, make_job(make_step(is_lasting=True), name=JOB))
        (line,) = run_rounds(fleet, 3.0)
        assert "cordoned" in line[0]

    def test_lease_that_is_not_over(self):
        fleet = WaitingFleet()
        add(fleet, make_job(make_step(is_lasting=True), name=JOB))
        fleet.advance(1.0)
        name = fleet.scheduler.state.jobs[JOB].find_task(TASK)[1].upstream
        fleet.silence(name, 9.0)
        fleet.advance(4.5)
        (line,) = [e for e in fleet.scheduler.pop_events() if e.event == "task-waits"]
        assert (line.run, line.upstream) == (1, name)
        assert line.reason == "the lease of its run is not over"

    def test_news_of_a_crash(self):
        fleet = WaitingFleet()
        add(fleet, make_job(make_step(is_lasting=True), name=JOB))
        fleet.remove(fleet.place()[0].upstream)
        task = fleet.scheduler.state.jobs[JOB].find_task(TASK)[1]
        while task.run == 1:
            fleet.advance(0.25)
        fleet.crash(task.upstream)
        fleet.advance(4.0)
        (line,) = pop_waits(fleet)
        assert line[0] == "held for the news whether its upstreams crashed"


class TestVolume:
    """Test how many lines are written."""

    def test_task_that_runs_or_has_just_begun_to_wait_gets_no_line(self, fleet):
        add(fleet, make_job(make_step(is_lasting=True), name=JOB))
        assert run_rounds(fleet, 9.0) == []
        fill(fleet)
        add(fleet, make_job(make_step(is_lasting=True), name="2" * 16))
        assert run_rounds(fleet, 1.5) == []

    def test_line_is_repeated_with_its_age_every_few_seconds(self, fleet):
        fill(fleet)
        add(fleet, make_job(make_step(is_lasting=True), name=JOB))
        lines = run_rounds(fleet, 20.0)
        assert 2 <= len(lines) <= 4
        ages = [age for _, age in lines]
        assert ages == sorted(ages) and ages[0] >= 2.0

    def test_many_tasks_get_few_lines_at_a_time(self, fleet):
        fill(fleet)
        add(fleet, make_job(make_step(2000, is_lasting=True), name=JOB))
        assert len(run_rounds(fleet, 2.5)) <= 50

    @pytest.mark.parametrize("state", [JobState.COMPLETED, JobState.CANCELLED])
    def test_ended_job_gets_no_line(self, fleet, state):
        fill(fleet)
        add(fleet, make_job(make_step(is_lasting=True), name=JOB))
        job_run = fleet.scheduler.state.jobs[JOB]
        fleet.scheduler.state.finish_job(job_run, state, "")
        assert run_rounds(fleet, 5.0) == []

    def test_wait_that_is_looked_at_changes_no_progress(self, fleet):
        fill(fleet)
        add(fleet, make_job(make_step(is_lasting=True), name=JOB))
        run_rounds(fleet, 5.0)
        assert not fleet.scheduler.state.jobs[JOB].has_begun()


class TestErrors:
    """Test that an error in telling why a task waits does not stop its job."""

    @pytest.fixture
    def fleet(self, fleet, monkeypatch):
        """Return a full fleet with a waiting task; no reason can be told."""
        fill(fleet)
        add(fleet, make_job(make_step(is_lasting=True), name=JOB))

        def raise_error(*args):
            raise KeyError("reason")

        monkeypatch.setattr(
            "baobablane.scheduling._waits._why_not_started", raise_error
        )
        return fleet

    def test_task_is_started_once_there_is_room(self, fleet):
        run_rounds(fleet, 3.0)
        for position in range(8):
            fleet.finish(TaskId("f" * 16, 0, 0, position))
        run_rounds(fleet, 0.5)
        assert fleet.runs_of(TASK) == 1

    def test_error_is_logged_every_few_seconds(self, fleet):
        for _ in range(20):
            fleet.now += 0.5
            fleet.renew_all()
            fleet.place()
        lines = [e for e in fleet.scheduler.pop_events() if e.job == JOB]
        assert {line.event for line in lines} == {"waits-not-known"}
        assert len(lines) == 2
        assert "reason" in lines[0].reason

    def test_error_as_a_line_is_written_does_not_stop_the_round(
        self, fleet, monkeypatch
    ):
        monkeypatch.undo()

        def raise_error(*args):
            raise ValueError("line")

        monkeypatch.setattr("baobablane.scheduling._waits._log_wait", raise_error)
        assert run_rounds(fleet, 3.0) == []
        assert JOB in fleet.scheduler.state.jobs
